package org.flamingochute.scheduling.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.QueueId;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.Pool;
import org.flamingochute.scheduling.fleet.Queue;
import org.flamingochute.scheduling.simulation.SimulatedFleet;
import org.flamingochute.scheduling.simulation.SimulatedStore;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what a leader does when operators evacuate a data centre, over time and hand-overs. */
class DataCentreEvacuationTest {
  private static final PoolId POOL = new PoolId("p");
  private static final PoolId STANDBY = new PoolId("s");
  private static final String QUEUE = "q";
  private static final DataCentreId LOST = new DataCentreId("lost");
  private static final DataCentreId KEPT = new DataCentreId("kept");
  private static final ResourceVector CAPACITY = new ResourceVector(8_000, 8_192, 0);
  private static final JobId JOB = new JobId("job");
  private static final JobId LATER_JOB = new JobId("later");
  private static final long SHORT_MILLISECONDS = 200;
  private static final long ENDLESS_MILLISECONDS = Long.MAX_VALUE / 200;

  private final SimulatedFleet fleet = new SimulatedFleet(declaration());

  private static FleetDeclaration declaration() {
    QueuePolicy policy =
        QueuePolicy.newBuilder().setService(POOL.value()).setMaximumAttempts(3).build();
    return FleetDeclaration.builder()
        .version(1)
        .queue(new Queue(new QueueId(QUEUE), "host", "/q/", 3_000, true, policy))
        .pool(new Pool(POOL, true, false))
        .pool(new Pool(STANDBY, true, true))
        .build();
  }

  private void addWorker(String name, DataCentreId dataCentre) {
    fleet.addWorker(name, POOL, CAPACITY, List.of(), dataCentre);
  }

  private void addWorkers() {
    addWorker("lost-1", LOST);
    addWorker("lost-2", LOST);
    addWorker("kept-1", KEPT);
    addWorker("kept-2", KEPT);
    fleet.advance(300);
  }

  private static QueuedStep.Builder step(int count) {
    return QueuedStep.newBuilder()
        .setCount(count)
        .setProcessorMillicores(2_000)
        .setMemoryMebibytes(100)
        .setEstimateMilliseconds(SHORT_MILLISECONDS);
  }

  private void submit(JobId id, QueuedStep.Builder step, long taskMilliseconds) {
    QueuedJob job = QueuedJob.newBuilder().setQueue(QUEUE).addSteps(step).build();
    fleet.submit(id, job, taskMilliseconds);
  }

  private int runningInLost() {
    return fleet.runningCountOn("lost-1") + fleet.runningCountOn("lost-2");
  }

  private void assertNoneStartsInLost() {
    submit(LATER_JOB, step(8).setMaximumPerWorker(4), ENDLESS_MILLISECONDS);
    fleet.advance(3_000);
    assertThat("in the evacuated data centre", runningInLost(), is(0));
    assertThat("elsewhere", fleet.runningCountOf(LATER_JOB), is(8));
  }

  /** Guards against a start in a data centre that operators have evacuated. */
  @Test
  void noTaskStartsInEvacuatedDataCentre() {
    addWorkers();
    fleet.evacuate(LOST);
    assertNoneStartsInLost();
  }

  /** Guards against a worker that is listed, or starts again, after the request. */
  @Test
  void workerThatIsListedAfterTheRequestGetsNoTask() {
    addWorker("kept-1", KEPT);
    addWorker("kept-2", KEPT);
    fleet.evacuate(LOST);
    addWorker("lost-1", LOST);
    addWorker("lost-2", LOST);
    fleet.advance(300);
    fleet.worker("lost-2").restart();
    fleet.advance(300);
    assertNoneStartsInLost();
  }

  /** Guards against a successor that does not know the request, or a store outage that ends it. */
  @ParameterizedTest
  @CsvSource({"true, false", "false, false", "false, true", "true, true"})
  void evacuationHoldsOverHandOverAndStoreOutage(boolean graceful, boolean storeDown) {
    addWorkers();
    fleet.evacuate(LOST);
    fleet.advance(100);
    if (storeDown) {
      fleet.store().setFault(SimulatedStore.Fault.DOWN);
      fleet.advance(4_000);
      fleet.store().setFault(SimulatedStore.Fault.NONE);
    }
    fleet.replaceLeader(graceful);
    fleet.advance(300);
    assertNoneStartsInLost();
  }

  /** Guards against capacity that stays idle after the request has been removed. */
  @Test
  void tasksStartAgainAfterTheRequestIsRemoved() {
    addWorkers();
    fleet.evacuate(LOST);
    submit(JOB, step(16), ENDLESS_MILLISECONDS);
    fleet.advance(1_000);
    assertThat("during the evacuation", runningInLost(), is(0));
    fleet.endEvacuation(LOST);
    fleet.advance(1_000);
    assertThat("after it", runningInLost(), is(8));
  }

  /** Guards against LOST work: tasks that are running may finish. */
  @Test
  void runningTasksFinishInTheEvacuatedDataCentre() {
    addWorkers();
    submit(JOB, step(16), 2_000);
    fleet.advance(500);
    assertThat("before the request", runningInLost(), is(8));
    fleet.evacuate(LOST);
    fleet.advance(1_000);
    assertThat("during the evacuation", runningInLost(), is(8));
    fleet.advance(2_000);
    for (int index = 0; index < 16; index++) {
      assertThat("starts of " + index, fleet.startsOf(new TaskId(JOB, 0, 0, index)), is(1));
    }
  }

  /** Guards against AVAIL: more long-running tasks are moved at once than may be missing. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void longRunningTasksMoveWithinTheirMaximum(int maximumUnavailable) {
    addWorkers();
    submit(
        JOB,
        step(6)
            .setLongRunning(true)
            .setMaximumUnavailable(maximumUnavailable)
            .setMaximumPerWorker(3),
        ENDLESS_MILLISECONDS);
    fleet.advance(2_000);
    final int before = runningInLost();
    fleet.evacuate(LOST);
    for (int step = 0; step < 1_500; step++) {
      fleet.advance(10);
      assertThat(
          "available of 6",
          fleet.availableCountOf(JOB),
          greaterThanOrEqualTo(6 - maximumUnavailable));
    }
    assertThat("there were some to move", before, greaterThanOrEqualTo(1));
    assertThat("left behind", runningInLost(), is(0));
    assertThat("elsewhere", fleet.runningCountOf(JOB), is(6));
  }

  /** Guards against AVAIL: a long-running task is stopped although no other worker has room. */
  @Test
  void longRunningTaskStaysUntilThereIsRoom() {
    addWorker("lost-1", LOST);
    addWorker("lost-2", LOST);
    fleet.advance(300);
    submit(JOB, step(2).setLongRunning(true).setMaximumPerWorker(1), ENDLESS_MILLISECONDS);
    fleet.advance(1_000);
    fleet.evacuate(LOST);
    fleet.advance(3_000);
    assertThat("without room", runningInLost(), is(2));
    addWorker("kept-1", KEPT);
    fleet.advance(3_000);
    assertThat("room for one", runningInLost(), is(1));
    addWorker("kept-2", KEPT);
    fleet.advance(3_000);
    assertThat("room for both", runningInLost(), is(0));
    assertThat("elsewhere", fleet.runningCountOf(JOB), is(2));
  }

  private void addMachines(PoolId pool, DataCentreId dataCentre, int count) {
    for (int i = 0; i < count; i++) {
      fleet.addMachine(pool + "-" + dataCentre + "-" + i, pool, CAPACITY, dataCentre);
    }
  }

  private long movesOf(DataCentreId dataCentre, PoolId target) {
    return fleet.commands().stream()
        .filter(SchedulerCommand.MoveMachine.class::isInstance)
        .map(SchedulerCommand.MoveMachine.class::cast)
        .filter(move -> move.pool().equals(target))
        .filter(move -> move.machine().value().contains("-" + dataCentre + "-"))
        .count();
  }

  /**
   * Guards against a pool that stays small because the machines of an evacuated data centre count,
   * or because machines of the same data centre replace them.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void poolReplacesLostMachinesFromOtherDataCentres(boolean newLeader) {
    addMachines(POOL, LOST, 2);
    addMachines(POOL, KEPT, 2);
    addMachines(STANDBY, KEPT, 3);
    addMachines(STANDBY, LOST, 3);
    fleet.advance(1_000);
    assertThat("moves before the request", movesOf(KEPT, POOL), is(0L));
    fleet.evacuate(LOST);
    if (newLeader) {
      fleet.replaceLeader(true);
    }
    submit(JOB, step(14), ENDLESS_MILLISECONDS);
    fleet.advance(5_000);
    assertThat("moves to the pool", movesOf(KEPT, POOL), is(2L));
    assertThat("moves from the evacuated data centre", movesOf(LOST, POOL), is(0L));
    assertThat("idle machines that were returned", movesOf(LOST, STANDBY), is(2L));
    assertThat("running", fleet.runningCountOf(JOB), is(14));
  }

  /** Guards against a task that is ended by the return of its machine to the standby pool. */
  @Test
  void machineWithTasksIsNotReturned() {
    addMachines(POOL, LOST, 1);
    addMachines(STANDBY, KEPT, 1);
    fleet.advance(500);
    submit(JOB, step(2), 3_000);
    fleet.advance(500);
    fleet.evacuate(LOST);
    fleet.advance(2_000);
    assertThat("while tasks run", movesOf(LOST, STANDBY), is(0L));
    fleet.advance(2_000);
    assertThat("after their end", movesOf(LOST, STANDBY), is(1L));
    assertThat("starts", fleet.startsOf(new TaskId(JOB, 0, 0, 0)), is(1));
  }

  /** Guards against a machine whose return is refused for good and that holds back the others. */
  @Test
  void refusedReturnDoesNotHoldBackOtherMachines() {
    addMachines(POOL, LOST, 3);
    fleet.advance(500);
    fleet.refuseMovesOf(POOL + "-" + LOST + "-2");
    fleet.evacuate(LOST);
    fleet.advance(3_000);
    assertThat("machines in the pool", fleet.machinesIn(POOL), is(1));
    assertThat("orders", movesOf(LOST, STANDBY), lessThan(6L));
  }
}
