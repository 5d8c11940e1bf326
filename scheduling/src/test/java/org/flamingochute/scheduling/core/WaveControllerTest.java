package org.flamingochute.scheduling.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.fleet.Machine;
import org.flamingochute.scheduling.fleet.WaveRequest;
import org.flamingochute.schema.scheduling.WaveProgress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A wave over idle machines, at most two of which may be down at once. */
class WaveControllerTest {
  private static final int LIMIT = 2;
  private static final List<MachineId> MACHINES =
      List.of(new MachineId("m1"), new MachineId("m2"), new MachineId("m3"), new MachineId("m4"));

  private final MachineInventory machines = new MachineInventory();
  private Outbox outbox = new Outbox();
  private WaveController waves = WaveControllers.create(machines, outbox);

  /** Newest progress that was to be recorded before commands. */
  private WaveProgress recorded = WaveProgress.getDefaultInstance();

  private long now;

  private void listMachines(Machine.State first, Machine.State others) {
    List<Machine> listed = new ArrayList<>();
    for (MachineId id : MACHINES) {
      Machine.State state = id.equals(MACHINES.getFirst()) ? first : others;
      listed.add(new Machine(id, new PoolId("p"), state, ResourceVector.ZERO, Optional.empty()));
    }
    machines.replace(listed, ++now);
  }

  private List<MachineId> advanceAndTakeCommands() {
    waves.advance(++now);
    waves.advance(++now);
    List<MachineId> orderedMachines = new ArrayList<>();
    SchedulerBatch batch = takeBatch();
    List<SchedulerCommand> commands = new ArrayList<>(batch.immediateCommands());
    commands.addAll(batch.commandsAfterRecording());
    for (SchedulerCommand command : commands) {
      if (command instanceof SchedulerCommand.MaintainMachine maintenance) {
        orderedMachines.add(maintenance.machine());
      }
    }
    return orderedMachines;
  }

  private SchedulerBatch takeBatch() {
    SchedulerBatch batch = outbox.takeBatch();
    recorded = batch.waves().getOrDefault(1L, recorded);
    return batch;
  }

  /** Begins the term of a leader that has read what was recorded. */
  private void takeOver() {
    takeBatch();
    outbox = new Outbox();
    waves = WaveControllers.create(machines, outbox);
    addWave(recorded);
  }

  private void addWave(WaveProgress progress) {
    waves.addWave(new WaveRequest(1, MACHINES, 10_000, LIMIT), progress);
  }

  @Test
  void noMoreThanTheLimitAreOrdered() {
    listMachines(Machine.State.UP, Machine.State.UP);
    addWave(WaveProgress.getDefaultInstance());
    assertThat(advanceAndTakeCommands().size(), is(LIMIT));
    assertThat(advanceAndTakeCommands().size(), is(0));
  }

  @Test
  void machinesInMaintenanceCountAgainstTheLimit() {
    listMachines(Machine.State.UPKEEP, Machine.State.UP);
    addWave(WaveProgress.getDefaultInstance());
    assertThat(advanceAndTakeCommands().size(), is(LIMIT - 1));
  }

  @Test
  void unansweredCommandCountsAndIsResent() {
    listMachines(Machine.State.UP, Machine.State.UP);
    addWave(WaveProgress.getDefaultInstance());
    List<MachineId> first = advanceAndTakeCommands();
    for (MachineId machine : first) {
      waves.onMaintenanceAnswered(1, machine, MachineOutcome.UNKNOWN, now);
    }
    now += 1_000;
    assertThat(advanceAndTakeCommands(), is(first));
  }

  /**
   * Guards against a wave that exceeds its limit of machines down: a command without a response was
   * executed, its repetition was refused, and the refusal was taken for both.
   */
  @Test
  void refusedRepetitionOfUnansweredCommandCountsAgainstTheLimit() {
    listMachines(Machine.State.UP, Machine.State.UP);
    addWave(WaveProgress.getDefaultInstance());
    List<MachineId> first = advanceAndTakeCommands();
    first.forEach(machine -> waves.onMaintenanceAnswered(1, machine, MachineOutcome.UNKNOWN, now));
    now += 1_000;
    assertThat(advanceAndTakeCommands(), is(first));
    first.forEach(
        machine -> waves.onMaintenanceAnswered(1, machine, MachineOutcome.THROTTLED, now));
    assertThat(advanceAndTakeCommands(), is(List.of()));
    now += 1_000;
    assertThat(advanceAndTakeCommands(), is(first));
  }

  /** A command that was refused, and of which no copy remained unanswered, was not executed. */
  @Test
  void refusedCommandDoesNotCountAgainstTheLimit() {
    listMachines(Machine.State.UP, Machine.State.UP);
    addWave(WaveProgress.getDefaultInstance());
    for (MachineId machine : advanceAndTakeCommands()) {
      waves.onMaintenanceAnswered(1, machine, MachineOutcome.THROTTLED, now);
    }
    assertThat(advanceAndTakeCommands().size(), is(1));
  }

  @Test
  void maintainedMachinesAreNotOrderedAgain() {
    listMachines(Machine.State.UP, Machine.State.UP);
    WaveProgress.Builder progress = WaveProgress.newBuilder();
    MACHINES.forEach(machine -> progress.addMaintained(machine.value()));
    addWave(progress.build());
    assertThat(advanceAndTakeCommands().size(), is(0));
  }

  /**
   * Guards against LIMIT: the leader ends after its commands, which are executed late, while its
   * successor commands other machines of the wave.
   */
  @ParameterizedTest
  @EnumSource(
      value = MachineOutcome.class,
      names = {"UNKNOWN", "DONE"})
  void commandsOfPreviousLeaderCountAndAreRepeatedFirst(MachineOutcome answer) {
    listMachines(Machine.State.UP, Machine.State.UP);
    addWave(WaveProgress.getDefaultInstance());
    final List<MachineId> first = advanceAndTakeCommands();
    first.forEach(machine -> waves.onMaintenanceAnswered(1, machine, answer, now));
    // The first machine is no candidate at present, so a successor would prefer another one.
    listMachines(Machine.State.DOWN, Machine.State.UP);
    for (int leader = 0; leader < 2; leader++) {
      takeOver();
      assertThat(advanceAndTakeCommands(), is(first));
      assertThat(advanceAndTakeCommands(), is(List.of()));
    }
    first.forEach(machine -> waves.onMaintenanceAnswered(1, machine, MachineOutcome.DONE, now));
    listMachines(Machine.State.UP, Machine.State.UP);
    assertThat(advanceAndTakeCommands().size(), is(LIMIT));
  }

  /** A command that was certainly not executed is no concern of a successor. */
  @Test
  void refusedCommandOfPreviousLeaderDoesNotCount() {
    listMachines(Machine.State.UP, Machine.State.UP);
    addWave(WaveProgress.getDefaultInstance());
    for (MachineId machine : advanceAndTakeCommands()) {
      waves.onMaintenanceAnswered(1, machine, MachineOutcome.THROTTLED, now);
    }
    takeOver();
    assertThat(recorded.getOrderedList(), is(List.of()));
  }
}
