package org.flamingochute.scheduling.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.decision.placement.WorkerHealth;
import org.flamingochute.scheduling.fleet.Machine;
import org.flamingochute.scheduling.fleet.WaveOrder;
import org.flamingochute.schema.scheduling.WaveProgress;
import org.junit.jupiter.api.Test;

/** A wave over machines without work, of which at most two may be down at once. */
class WaveControllerTest {
  private static final int LIMIT = 2;
  private static final List<MachineId> MACHINES =
      List.of(new MachineId("m1"), new MachineId("m2"), new MachineId("m3"), new MachineId("m4"));

  private final Outbox outbox = new Outbox();
  private final MachineInventory machines = new MachineInventory();
  private final WaveController waves = conductor();
  private long now;

  private WaveController conductor() {
    SchedulerSettings settings = SchedulerSettings.builder().build();
    TaskLifecycle lifecycle =
        new TaskLifecycle(new JobRegistry(), new TeamUsage(), new WorkerHealth(), outbox, settings);
    return new WaveController(
        new WorkerRegistry(), machines, new WorkerEvacuator(lifecycle), outbox);
  }

  private void list(Machine.State first, Machine.State others) {
    List<Machine> listed = new ArrayList<>();
    for (MachineId id : MACHINES) {
      Machine.State state = id.equals(MACHINES.getFirst()) ? first : others;
      listed.add(new Machine(id, new PoolId("p"), state, ResourceVector.ZERO, Optional.empty()));
    }
    machines.replace(listed, ++now);
  }

  private List<MachineId> ordered() {
    waves.advance(++now);
    waves.advance(++now);
    List<MachineId> ordered = new ArrayList<>();
    SchedulerBatch batch = outbox.takeBatch();
    List<SchedulerCommand> commands = new ArrayList<>(batch.immediateCommands());
    commands.addAll(batch.commandsAfterRecording());
    for (SchedulerCommand command : commands) {
      if (command instanceof SchedulerCommand.MaintainMachine upkeep) {
        ordered.add(upkeep.machine());
      }
    }
    return ordered;
  }

  private void begin(WaveProgress progress) {
    waves.addWave(new WaveOrder(1, MACHINES, 10_000, LIMIT), progress);
  }

  @Test
  void noMoreThanTheLimitGoDown() {
    list(Machine.State.UP, Machine.State.UP);
    begin(WaveProgress.getDefaultInstance());
    assertThat(ordered().size(), is(LIMIT));
    assertThat(ordered().size(), is(0));
  }

  @Test
  void machinesThatWereDownBeforeCountAgainstTheLimit() {
    list(Machine.State.UPKEEP, Machine.State.UP);
    begin(WaveProgress.getDefaultInstance());
    assertThat(ordered().size(), is(LIMIT - 1));
  }

  @Test
  void orderWithoutAnswerCountsAndIsRepeated() {
    list(Machine.State.UP, Machine.State.UP);
    begin(WaveProgress.getDefaultInstance());
    List<MachineId> first = ordered();
    for (MachineId machine : first) {
      waves.onMaintenanceAnswered(1, machine, MachineOutcome.UNKNOWN, now);
    }
    now += 1_000;
    assertThat(ordered(), is(first));
  }

  @Test
  void machinesThatAreDoneAreLeftAlone() {
    list(Machine.State.UP, Machine.State.UP);
    WaveProgress.Builder progress = WaveProgress.newBuilder();
    MACHINES.forEach(machine -> progress.addMaintained(machine.value()));
    begin(progress.build());
    assertThat(ordered().size(), is(0));
  }
}
