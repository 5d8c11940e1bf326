package org.flamingochute.scheduling.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.QueueId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.Machine;
import org.flamingochute.scheduling.fleet.Pool;
import org.flamingochute.scheduling.fleet.Queue;
import org.flamingochute.scheduling.fleet.WaveRequest;
import org.flamingochute.scheduling.job.JobTable;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.scheduling.worker.WorkerStatus;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.flamingochute.schema.scheduling.WaveProgress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that a machine that is being emptied, maintained or moved gets no task, and that it gets
 * tasks again once no command for it can be executed or follow soon.
 */
class CordonTest {
  private static final PoolId POOL = new PoolId("p");
  private static final PoolId OTHER_POOL = new PoolId("r");
  private static final MachineId MACHINE = new MachineId("m");
  private static final WorkerKey WORKER = new WorkerKey(new InstanceId("w"), 1);
  private static final ResourceVector CAPACITY = new ResourceVector(4_000, 4_096, 0);
  private static final int SMALL_TASK_MILLICORES = 1_000;
  private static final int FULL_TASK_MILLICORES = 4_000;
  private static final long STEP_MILLISECONDS = 50;

  /** Decisions during the time for which a machine that is being emptied is kept without tasks. */
  private static final long DECISIONS_OF_PAUSED_EVACUATION =
      Scheduler.MACHINE_COMMAND_VALIDITY_MILLISECONDS / STEP_MILLISECONDS;

  /** Decisions during 2 s, the timeout of a machine command. */
  private static final long DECISIONS_OF_COMMAND = 2_000 / STEP_MILLISECONDS;

  private final SchedulerSettings settings = SchedulerSettings.builder().build();
  private final JobTable stored = new JobTable();
  private final Scheduler scheduler =
      new Scheduler(settings, declaration(), PredecessorState.OVER, 0, 0);
  private final List<SchedulerCommand.MaintainMachine> maintenances = new ArrayList<>();
  private final List<SchedulerCommand.MoveMachine> moves = new ArrayList<>();
  private List<Machine> machines = List.of(machine(MACHINE, POOL, Machine.State.UP, WORKER));
  private long now = 1_000;

  private static FleetDeclaration declaration() {
    return FleetDeclaration.builder()
        .version(1)
        .queue(queue("q", "p"))
        .queue(queue("s", "r"))
        .pool(new Pool(POOL, true, false))
        .pool(new Pool(OTHER_POOL, true, false))
        .build();
  }

  private static Queue queue(String name, String service) {
    QueuePolicy policy = QueuePolicy.newBuilder().setService(service).setMaximumAttempts(3).build();
    return new Queue(new QueueId(name), "host", "/" + name + "/", 3_000, true, policy);
  }

  private static Machine machine(MachineId id, PoolId pool, Machine.State state, WorkerKey worker) {
    return new Machine(id, pool, state, CAPACITY, Optional.of(worker.id()));
  }

  private static WorkerKey worker(String id) {
    return new WorkerKey(new InstanceId(id), 1);
  }

  private void submit(String id) {
    submit(id, "q", 1, SMALL_TASK_MILLICORES);
  }

  private void submit(String id, String queue, int tasks, int millicores) {
    QueuedJob job =
        QueuedJob.newBuilder()
            .setQueue(queue)
            .addSteps(
                QueuedStep.newBuilder()
                    .setCount(tasks)
                    .setProcessorMillicores(millicores)
                    .setMemoryMebibytes(100)
                    .setEstimateMilliseconds(60_000))
            .build();
    scheduler.onJobStored(stored.define(new JobId(id), job), now, now);
  }

  private void listWorker(WorkerKey worker) {
    scheduler.onWorkerListed(
        new WorkerReport(
            worker, POOL, "10.0.0.1:80", new DataCentreId("a"), CAPACITY, List.of(), false),
        now);
    scheduler.onLeaseSent(worker, now);
    scheduler.onLeaseRenewed(worker, new WorkerStatus(1, 1, List.of(), List.of()), now, now, now);
  }

  private int startsOfNextDecision() {
    now += STEP_MILLISECONDS;
    scheduler.onMachinesListed(machines, now);
    scheduler.decide(now, now);
    SchedulerBatch batch = scheduler.takeBatch();
    List<SchedulerCommand> commands = new ArrayList<>(batch.immediateCommands());
    commands.addAll(batch.commandsAfterRecording());
    int starts = 0;
    for (SchedulerCommand command : commands) {
      if (command instanceof SchedulerCommand.StartTask start && scheduler.beginStart(start)) {
        scheduler.onStartAnswered(start, StartOutcome.STARTED, now, now);
        starts++;
      } else if (command instanceof SchedulerCommand.MaintainMachine maintenance) {
        maintenances.add(maintenance);
      } else if (command instanceof SchedulerCommand.MoveMachine move) {
        moves.add(move);
      }
    }
    return starts;
  }

  private int startsOfDecisions(long decisions) {
    int starts = 0;
    for (int i = 0; i < decisions; i++) {
      starts += startsOfNextDecision();
    }
    return starts;
  }

  private void requestWave() {
    scheduler.onWaveRequested(
        new WaveRequest(1, List.of(MACHINE), 10_000, 1), WaveProgress.getDefaultInstance());
    startsOfNextDecision();
    startsOfNextDecision();
  }

  /**
   * Guards against AVAIL: a leader whose permission for machine commands is outdated places a task
   * on a machine that it is emptying, and the maintenance ends it.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void machineThatIsBeingEmptiedGetsNoTask(boolean machineCommandsAllowed) {
    listWorker(WORKER);
    submit("j1");
    assertThat("before the wave", startsOfNextDecision(), is(1));
    requestWave();

    scheduler.setMachineCommandsAllowed(machineCommandsAllowed);
    submit("j2");

    assertThat("during the wave", startsOfNextDecision(), is(0));
  }

  /**
   * Guards against idle capacity: a leader that may send no machine commands, because its appends
   * take too long, keeps machines empty whose maintenance it cannot start.
   */
  @Test
  void machineThatIsBeingEmptiedGetsTasksOnceNoCommandFollowsSoon() {
    listWorker(WORKER);
    submit("j1");
    assertThat("before the wave", startsOfNextDecision(), is(1));
    requestWave();
    scheduler.setMachineCommandsAllowed(false);
    submit("j2");

    assertThat(
        "pause of the evacuation", startsOfDecisions(DECISIONS_OF_PAUSED_EVACUATION - 1), is(0));
    assertThat("after it", startsOfNextDecision(), is(1));
  }

  /**
   * Guards against AVAIL: a leader whose permission for machine commands is outdated places a task
   * on a machine for which a maintenance command is under way or was not answered.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void machineWhoseMaintenanceMayBeExecutedGetsNoTask(boolean responseLost) {
    listWorker(WORKER);
    requestWave();
    assertThat("maintenance commands", maintenances.size(), is(1));
    scheduler.setMachineCommandsAllowed(false);
    submit("j1");
    if (responseLost) {
      scheduler.onMaintenanceAnswered(maintenances.getFirst(), MachineOutcome.UNKNOWN, now);
    }

    assertThat("may be executed", startsOfDecisions(DECISIONS_OF_COMMAND), is(0));
  }

  /** Guards against idle capacity on a machine whose maintenance command was refused. */
  @ParameterizedTest
  @EnumSource(names = {"BUSY", "THROTTLED", "OTHER_WAVE", "IMPOSSIBLE"})
  void machineGetsTasksOnceItsMaintenanceIsRefused(MachineOutcome refusal) {
    listWorker(WORKER);
    requestWave();
    scheduler.setMachineCommandsAllowed(false);
    submit("j1");
    assertThat("may be executed", startsOfDecisions(DECISIONS_OF_COMMAND), is(0));

    scheduler.onMaintenanceAnswered(maintenances.getFirst(), refusal, now);

    assertThat("refused", startsOfNextDecision(), is(1));
  }

  /** Guards against idle capacity on a machine that has returned from its maintenance. */
  @Test
  void machineGetsTasksOnceItHasReturnedFromMaintenance() {
    listWorker(WORKER);
    requestWave();
    scheduler.onMaintenanceAnswered(maintenances.getFirst(), MachineOutcome.DONE, now);
    scheduler.setMachineCommandsAllowed(false);
    machines = List.of(machine(MACHINE, POOL, Machine.State.UPKEEP, WORKER));
    submit("j1");
    assertThat("down", startsOfNextDecision(), is(0));

    WorkerKey next = worker("next");
    machines = List.of(machine(MACHINE, POOL, Machine.State.UP, next));
    listWorker(next);

    assertThat("returned", startsOfNextDecision(), is(1));
  }

  /** Has the leader move one of three machines to a pool whose load exceeds its machines. */
  private void moveOneOfThreeMachines() {
    List<Machine> listed = new ArrayList<>();
    for (String name : List.of("1", "2", "3")) {
      listWorker(worker("w" + name));
      listed.add(machine(new MachineId(name), POOL, Machine.State.UP, worker("w" + name)));
    }
    listed.add(machine(new MachineId("4"), OTHER_POOL, Machine.State.UP, worker("w4")));
    machines = listed;
    submit("j1", "s", 8, FULL_TASK_MILLICORES);
    startsOfNextDecision();
    assertThat("moves", moves.size(), is(1));
  }

  /**
   * Guards against AVAIL: a leader whose permission for machine commands is outdated places a task
   * on a machine whose move is under way or was not answered.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void machineWhoseMoveMayBeExecutedGetsNoTask(boolean responseLost) {
    moveOneOfThreeMachines();
    scheduler.setMachineCommandsAllowed(false);
    submit("j2", "q", 3, FULL_TASK_MILLICORES);
    if (responseLost) {
      scheduler.onMoveAnswered(moves.getFirst(), MachineOutcome.UNKNOWN, now);
    }

    assertThat("on the others", startsOfDecisions(DECISIONS_OF_COMMAND), is(2));
  }

  /** Guards against idle capacity on a machine whose move was refused. */
  @ParameterizedTest
  @EnumSource(names = {"BUSY", "THROTTLED", "IMPOSSIBLE"})
  void machineGetsTasksOnceItsMoveIsRefused(MachineOutcome refusal) {
    moveOneOfThreeMachines();
    scheduler.setMachineCommandsAllowed(false);
    submit("j2", "q", 3, FULL_TASK_MILLICORES);
    assertThat("on the others", startsOfDecisions(DECISIONS_OF_COMMAND), is(2));

    scheduler.onMoveAnswered(moves.getFirst(), refusal, now);

    assertThat("on the third", startsOfNextDecision(), is(1));
  }
}
