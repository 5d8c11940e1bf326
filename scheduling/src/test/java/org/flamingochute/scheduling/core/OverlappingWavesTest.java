package org.flamingochute.scheduling.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.fleet.Machine;
import org.flamingochute.scheduling.fleet.WaveRequest;
import org.flamingochute.schema.scheduling.WaveProgress;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against MIXED: a wave is reported as completed although a machine was under maintenance
 * for another wave only.
 */
class OverlappingWavesTest {
  private static final int ROUNDS = 60;

  /** Rounds of the simulation for which a machine is under maintenance. */
  private static final int MAINTENANCE_ROUNDS = 4;

  private static final MachineId M1 = new MachineId("m1");
  private static final MachineId M2 = new MachineId("m2");
  private static final MachineId M3 = new MachineId("m3");
  private static final List<MachineId> MACHINES = List.of(M1, M2, M3);
  private static final List<WaveRequest> REQUESTS =
      List.of(
          new WaveRequest(1, List.of(M1, M2), 10_000, 1),
          new WaveRequest(2, List.of(M1, M2, M3), 10_000, 1));

  private record Maintenance(long wave, MachineId machine) {}

  private final MachineInventory machines = new MachineInventory();
  private final Set<Maintenance> begun = new HashSet<>();
  private final Map<MachineId, Integer> upAtRound = new LinkedHashMap<>();
  private final Map<Long, WaveProgress> recorded = new LinkedHashMap<>();
  private final List<Long> completed = new ArrayList<>();
  private final Set<String> violations = new LinkedHashSet<>();
  private Outbox outbox = new Outbox();
  private WaveController waves = WaveControllers.create(machines, outbox);
  private int round;
  private long now;

  private void addWave(WaveRequest request) {
    waves.addWave(
        request, recorded.getOrDefault(request.number(), WaveProgress.getDefaultInstance()));
  }

  /** Replaces the leader with one that knows the recorded progress only. */
  private void replaceLeader() {
    outbox = new Outbox();
    waves = WaveControllers.create(machines, outbox);
    REQUESTS.forEach(this::addWave);
  }

  private void advance() {
    round++;
    now += 400;
    machines.replace(MACHINES.stream().map(this::listed).toList(), now);
    waves.advance(++now);
    SchedulerBatch batch = outbox.takeBatch();
    recorded.putAll(batch.waves());
    batch.immediateCommands().forEach(this::execute);
    batch.commandsAfterRecording().forEach(this::execute);
  }

  private boolean isDown(MachineId machine) {
    return round < upAtRound.getOrDefault(machine, 0);
  }

  private Machine listed(MachineId id) {
    Machine.State state = isDown(id) ? Machine.State.UPKEEP : Machine.State.UP;
    return new Machine(id, new PoolId("p"), state, ResourceVector.ZERO, Optional.empty());
  }

  private void execute(SchedulerCommand command) {
    if (command instanceof SchedulerCommand.MaintainMachine maintenance) {
      MachineOutcome outcome = maintain(maintenance);
      waves.onMaintenanceAnswered(maintenance.wave(), maintenance.machine(), outcome, now);
    } else if (command instanceof SchedulerCommand.ReportWave report && report.completed()) {
      completed.add(report.wave());
      for (MachineId machine : REQUESTS.get((int) report.wave() - 1).machines()) {
        Maintenance expected = new Maintenance(report.wave(), machine);
        if (!begun.contains(expected)) {
          violations.add("completed without " + expected);
        }
      }
    }
  }

  private MachineOutcome maintain(SchedulerCommand.MaintainMachine command) {
    if (begun.contains(new Maintenance(command.wave(), command.machine()))) {
      return MachineOutcome.DONE;
    }
    if (isDown(command.machine())) {
      return MachineOutcome.BUSY;
    }
    begun.add(new Maintenance(command.wave(), command.machine()));
    upAtRound.put(command.machine(), round + MAINTENANCE_ROUNDS);
    for (WaveRequest request : REQUESTS) {
      long down = request.machines().stream().filter(this::isDown).count();
      if (down > request.maximumDown()) {
        violations.add("over the limit of " + request);
      }
    }
    return MachineOutcome.DONE;
  }

  /**
   * The second wave is requested some rounds after the first, and the leader may be replaced.
   *
   * @param secondWaveAt round in which the second wave is requested
   * @param takeoverAt round in which the leader is replaced, or 0
   */
  @ParameterizedTest
  @CsvSource({"1, 0", "2, 0", "3, 0", "6, 0", "2, 3", "2, 5", "3, 8", "6, 7", "6, 9"})
  void everyMachineIsMaintainedForEachWave(int secondWaveAt, int takeoverAt) {
    addWave(REQUESTS.getFirst());
    while (round < ROUNDS) {
      if (round == secondWaveAt) {
        addWave(REQUESTS.getLast());
      }
      if (takeoverAt > 0 && round == takeoverAt) {
        replaceLeader();
      }
      advance();
    }
    assertThat(violations, is(empty()));
    assertThat(Set.copyOf(completed), is(Set.of(1L, 2L)));
  }
}
