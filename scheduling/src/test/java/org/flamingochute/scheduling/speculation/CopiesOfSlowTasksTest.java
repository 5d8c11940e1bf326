package org.flamingochute.scheduling.speculation;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.QueueId;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.core.SchedulerCommand;
import org.flamingochute.scheduling.core.SchedulingFeatures;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.Pool;
import org.flamingochute.scheduling.fleet.Queue;
import org.flamingochute.scheduling.fleet.Team;
import org.flamingochute.scheduling.job.JobPhase;
import org.flamingochute.scheduling.simulation.SimulatedFleet;
import org.flamingochute.scheduling.simulation.SimulatedStore;
import org.flamingochute.scheduling.simulation.WorkerFaultInjector;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests copies on two workers: a task of 1 s is slow on the first one, so that the other one gets a
 * copy. The simulated fleet checks that no other task runs twice, and that no task starts after its
 * success was acknowledged.
 */
class CopiesOfSlowTasksTest {
  private static final PoolId POOL = new PoolId("p");
  private static final DataCentreId DATA_CENTRE = new DataCentreId("dc");
  private static final JobId JOB = new JobId("slow");
  private static final TaskId TASK = new TaskId(JOB, 0, 0, 0);
  private static final TeamId TEAM = new TeamId("team");
  private static final int SLOTS_PER_WORKER = 4;
  private static final int SLOTS = 2 * SLOTS_PER_WORKER;
  private static final long START_UP_MILLISECONDS = 300;
  private static final long TASK_MILLISECONDS = 1_000;
  private static final int SLOW_FACTOR = 5;

  /** A time within which copies are decided on, and before they end. */
  private static final long DECISION_MILLISECONDS = 600;

  private static final long STEP_MILLISECONDS = 10;

  /** Longest lease of a worker and the time in which the tasks left are started again. */
  private static final long LEASE_MILLISECONDS = 5_000;

  private int maximumAttempts = 3;
  private SimulatedFleet fleet = newFleet(true, SLOTS);

  private SimulatedFleet newFleet(boolean copies, int cap) {
    FleetDeclaration declaration =
        FleetDeclaration.builder()
            .version(1)
            .queue(new Queue(new QueueId("q"), "host", "/q/", 3_000, true, policy()))
            .pool(new Pool(POOL, true, false))
            .team(new Team(TEAM, Set.of(), 0, new ResourceVector(1_000L * cap, 0, 0)))
            .build();
    SimulatedFleet created =
        new SimulatedFleet(
            declaration, SchedulingFeatures.builder().speculativeCopies(copies).build());
    for (String worker : List.of("w0", "w1")) {
      created.addWorker(
          worker,
          POOL,
          new ResourceVector(1_000L * SLOTS_PER_WORKER, 8_000, 0),
          List.of(),
          DATA_CENTRE);
    }
    created.advance(START_UP_MILLISECONDS);
    return created;
  }

  private QueuePolicy policy() {
    return QueuePolicy.newBuilder()
        .setService(POOL.value())
        .setMaximumAttempts(maximumAttempts)
        .setSlackFactor(2)
        .setObjectiveMilliseconds(600)
        .build();
  }

  private static QueuedStep.Builder step() {
    return QueuedStep.newBuilder()
        .setCount(1)
        .setProcessorMillicores(1_000)
        .setMemoryMebibytes(100)
        .setEstimateMilliseconds(TASK_MILLISECONDS)
        .setSpeculative(true);
  }

  private void submit(JobId id, QueuedStep.Builder step, long taskMilliseconds) {
    QueuedJob job =
        QueuedJob.newBuilder()
            .setQueue("q")
            .setOrganisation(TEAM.value())
            .setPolicy(policy())
            .setAcceptedMilliseconds(fleet.now())
            .addSteps(step)
            .build();
    fleet.submit(id, job, taskMilliseconds);
  }

  private void submitSlowTask(QueuedStep.Builder step) {
    fleet.slowDownFirstRun(TASK, SLOW_FACTOR);
    submit(JOB, step, TASK_MILLISECONDS);
    fleet.advance(20);
  }

  /** Starts a slow task; returns the worker of its first run. */
  private WorkerFaultInjector startSlowTask() {
    submitSlowTask(step());
    return fleet.worker(fleet.lastWorkerOf(TASK));
  }

  private WorkerFaultInjector otherWorker() {
    return fleet.worker(fleet.lastWorkerOf(TASK).equals("w0") ? "w1" : "w0");
  }

  private void awaitCopy() {
    fleet.advance(DECISION_MILLISECONDS);
    assertThat("copy runs", fleet.runningCountOf(JOB), is(2));
  }

  /** Guards against capacity and team caps that ended runs still count against. */
  private void checkEverySlotIsFree() {
    JobId filling = new JobId("filling");
    submit(filling, step().setCount(SLOTS).setSpeculative(false), TASK_MILLISECONDS);
    fleet.advance(DECISION_MILLISECONDS);
    assertThat("running tasks", fleet.runningCountOf(filling), is(SLOTS));
  }

  private void checkCompleted(int starts) {
    assertThat(fleet.phase(JOB), is(JobPhase.COMPLETED));
    assertThat("starts", fleet.startsOf(TASK), is(starts));
    assertThat("runs after the end", fleet.runningCountOf(JOB), is(0));
    checkAttempts();
    checkEverySlotIsFree();
  }

  /** Guards against an attempt number that two runs have. */
  private void checkAttempts() {
    Set<Integer> attempts = new HashSet<>();
    for (SchedulerCommand command : fleet.commands()) {
      if (command instanceof SchedulerCommand.StartTask start && start.task().equals(TASK)) {
        assertThat("attempt is new", attempts.add(start.attempt()), is(true));
      }
    }
  }

  /** Guards against a job that lasts as long as its slowest run although a copy has succeeded. */
  @Test
  void copyThatEndsFirstCompletesTheTask() {
    startSlowTask();
    awaitCopy();
    fleet.advance(1_200);
    checkCompleted(2);
  }

  /** Guards against a copy that runs on after the first run has succeeded. */
  @Test
  void firstRunThatEndsFirstCompletesTheTask() {
    submit(JOB, step().setEstimateMilliseconds(300), TASK_MILLISECONDS);
    awaitCopy();
    fleet.advance(600);
    checkCompleted(2);
  }

  /** Guards against a task that is counted as done twice, as both workers list a success. */
  @Test
  void bothRunsMayEndBeforeTheLeaderKnows() {
    submit(JOB, step().setEstimateMilliseconds(300), TASK_MILLISECONDS);
    awaitCopy();
    fleet.worker("w0").setReachable(false);
    fleet.worker("w1").setReachable(false);
    fleet.advance(1_200);
    assertThat("runs", fleet.runningCountOf(JOB), is(0));
    assertThat(fleet.phase(JOB), is(JobPhase.RUNNING));
    fleet.worker("w0").setReachable(true);
    fleet.worker("w1").setReachable(true);
    fleet.advance(300);
    checkCompleted(2);
  }

  /**
   * Guards against a failure of a copy that ends the other run, also if one more failure would end
   * the job: then no copy is started.
   */
  @ParameterizedTest
  @CsvSource({"1, 1", "2, 2"})
  void failureOfCopyDoesNotEndTheJob(int attempts, int starts) {
    maximumAttempts = attempts;
    fleet = newFleet(true, SLOTS);
    startSlowTask();
    otherWorker().setFailing(true);
    fleet.advance(DECISION_MILLISECONDS);
    otherWorker().setFailing(false);
    assertThat("starts", fleet.startsOf(TASK), is(starts));
    fleet.worker("w0").setFailing(false);
    fleet.worker("w1").setFailing(false);
    fleet.advance(LEASE_MILLISECONDS);
    assertThat(fleet.phase(JOB), is(JobPhase.COMPLETED));
    assertThat("runs after the end", fleet.runningCountOf(JOB), is(0));
    checkEverySlotIsFree();
  }

  /** Guards against a failure of a copy that isn't counted. */
  @Test
  void failuresOfBothRunsCount() {
    maximumAttempts = 2;
    fleet = newFleet(true, SLOTS);
    final WorkerFaultInjector first = startSlowTask();
    otherWorker().setFailing(true);
    fleet.advance(DECISION_MILLISECONDS);
    first.setFailing(true);
    fleet.advance(100);
    assertThat("starts", fleet.startsOf(TASK), is(2));
    assertThat(fleet.phase(JOB), is(JobPhase.FAILED));
  }

  /** Guards against a third run of a task whose copy goes on after the failure of its first run. */
  @Test
  void copyIsOnlyRunAfterFailureOfFirstRun() {
    final WorkerFaultInjector first = startSlowTask();
    awaitCopy();
    first.setFailing(true);
    fleet.advance(100);
    first.setFailing(false);
    assertThat("runs", fleet.runningCountOf(JOB), is(1));
    fleet.advance(1_100);
    checkCompleted(2);
  }

  /** Guards against UNASKED: a copy of a cancelled job runs on. */
  @Test
  void cancellationStopsBothRuns() {
    startSlowTask();
    awaitCopy();
    fleet.cancel(JOB);
    fleet.advance(200);
    assertThat(fleet.phase(JOB), is(JobPhase.CANCELLED));
    assertThat("runs", fleet.runningCountOf(JOB), is(0));
    checkEverySlotIsFree();
  }

  /** Guards against tasks that wait for the lease of a silent worker although a copy may run. */
  @Test
  void taskOnSilentWorkerIsCompletedByCopy() {
    submit(JOB, step(), TASK_MILLISECONDS);
    fleet.advance(20);
    WorkerFaultInjector first = fleet.worker(fleet.lastWorkerOf(TASK));
    first.setReachable(false);
    fleet.advance(1_900);
    assertThat(fleet.phase(JOB), is(JobPhase.COMPLETED));
    first.setReachable(true);
    fleet.advance(LEASE_MILLISECONDS);
    checkCompleted(2);
  }

  /** Guards against a first run that is given up since the worker of its copy is silent. */
  @Test
  void silenceOfCopysWorkerLeavesFirstRun() {
    startSlowTask();
    awaitCopy();
    fleet.worker(fleet.lastWorkerOf(TASK)).setReachable(false);
    fleet.advance(LEASE_MILLISECONDS);
    assertThat(fleet.phase(JOB), is(JobPhase.COMPLETED));
    fleet.worker("w0").setReachable(true);
    fleet.worker("w1").setReachable(true);
    fleet.advance(LEASE_MILLISECONDS);
    checkCompleted(2);
  }

  /** Guards against a restart of one worker that affects the run on the other one. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void restartOfWorkerEndsOnlyItsRun(boolean copysWorkerRestarts) {
    final WorkerFaultInjector first = startSlowTask();
    awaitCopy();
    WorkerFaultInjector copys = fleet.worker(fleet.lastWorkerOf(TASK));
    (copysWorkerRestarts ? copys : first).restart();
    fleet.advance(200);
    assertThat("runs", fleet.runningCountOf(JOB), is(1));
    fleet.advance(LEASE_MILLISECONDS);
    checkCompleted(copysWorkerRestarts ? 3 : 2);
  }

  /** Guards against TWICE, and lost runs, after a hand-over during which both runs are alive. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void successorKeepsBothRuns(boolean graceful) {
    startSlowTask();
    awaitCopy();
    fleet.replaceLeader(graceful);
    fleet.advance(200);
    assertThat("runs", fleet.runningCountOf(JOB), is(2));
    fleet.advance(1_000);
    checkCompleted(2);
  }

  /** Guards against a loser that the successor of the leader that recorded the success forgets. */
  @Test
  void successorStopsTheRunThatLost() {
    final WorkerFaultInjector first = startSlowTask();
    awaitCopy();
    first.setReachable(false);
    fleet.advance(1_100);
    assertThat(fleet.phase(JOB), is(JobPhase.COMPLETED));
    assertThat("runs", fleet.runningCountOf(JOB), is(1));
    fleet.replaceLeader(true);
    first.setReachable(true);
    fleet.advance(300);
    checkCompleted(2);
  }

  /** Guards against a loser that runs on beside later steps, since its job has not ended. */
  @Test
  void successorStopsTheRunThatLostInAnOpenJob() {
    fleet.slowDownFirstRun(TASK, SLOW_FACTOR);
    QueuedJob job =
        QueuedJob.newBuilder()
            .setQueue("q")
            .setPolicy(policy())
            .addSteps(step())
            .addSteps(step().addDependencies(0))
            .build();
    fleet.submit(JOB, job, TASK_MILLISECONDS);
    fleet.advance(20);
    final WorkerFaultInjector first = fleet.worker(fleet.lastWorkerOf(TASK));
    awaitCopy();
    first.setReachable(false);
    fleet.advance(1_100);
    fleet.replaceLeader(true);
    first.setReachable(true);
    fleet.advance(300);
    assertThat(fleet.phase(JOB), is(JobPhase.RUNNING));
    assertThat("starts", fleet.startsOf(TASK), is(2));
    assertThat("runs", fleet.runningCountOf(JOB), is(1));
    fleet.advance(1_000);
    checkCompleted(2);
  }

  /** Guards against a second run with the attempt number of a copy that was recorded only. */
  @Test
  void successorDropsCopyThatWasNotSent() {
    recordCopyWithoutSendingIt();
    fleet.store().setResponseDelay(0);
    fleet.replaceLeader(false);
    fleet.advance(LEASE_MILLISECONDS);
    assertThat(fleet.phase(JOB), is(JobPhase.COMPLETED));
    assertThat("last attempt", lastAttempt(), greaterThan(2));
    checkAttempts();
  }

  /** Starts a slow task, up to a copy whose record the leader does not know to be durable yet. */
  private void recordCopyWithoutSendingIt() {
    startSlowTask();
    while (fleet.startsOf(TASK) == 1) {
      fleet.advance(STEP_MILLISECONDS);
    }
    final long copyStartsAt = fleet.now();
    fleet = newFleet(true, SLOTS);
    startSlowTask();
    fleet.advance(copyStartsAt - STEP_MILLISECONDS - fleet.now());
    fleet.store().setResponseDelay(1_000);
    fleet.advance(STEP_MILLISECONDS);
    assertThat("starts", fleet.startsOf(TASK), is(1));
  }

  /** Guards against a copy that starts in a data centre after operators have evacuated it. */
  @Test
  void unsentCopyIsWithdrawnFromEvacuatedDataCentre() {
    recordCopyWithoutSendingIt();
    fleet.evacuate(DATA_CENTRE);
    fleet.store().setResponseDelay(0);
    fleet.advance(1_500);
    assertThat("starts during the evacuation", fleet.startsOf(TASK), is(1));
    assertThat("first run goes on", fleet.runningCountOf(JOB), is(1));
    fleet.endEvacuation(DATA_CENTRE);
    fleet.advance(1_500);
    assertThat("last attempt", lastAttempt(), is(3));
    checkCompleted(2);
  }

  /** Guards against a copy on a worker that runs it as slowly as the first run. */
  @Test
  void coldWorkerGetsNoCopy() {
    startSlowTask();
    otherWorker().reportCold(fleet.now() + 1_000);
    fleet.advance(900);
    assertThat("starts while it is cold", fleet.startsOf(TASK), is(1));
    awaitCopy();
  }

  private int lastAttempt() {
    int last = 0;
    for (SchedulerCommand command : fleet.commands()) {
      if (command instanceof SchedulerCommand.StartTask start && start.task().equals(TASK)) {
        last = Math.max(last, start.attempt());
      }
    }
    return last;
  }

  /** Guards against a copy whose start got no response and that nobody stops. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void copyWhoseStartGetsNoResponseIsKeptOrStopped(boolean executedAtOnce) {
    startSlowTask();
    if (executedAtOnce) {
      otherWorker().loseNextStartResponse();
    } else {
      otherWorker().delayNextStart(1_000);
    }
    fleet.advance(DECISION_MILLISECONDS);
    assertThat("runs", fleet.runningCountOf(JOB), is(executedAtOnce ? 2 : 1));
    fleet.advance(LEASE_MILLISECONDS);
    checkCompleted(2);
  }

  /** Guards against copies while the store doesn't record their starts. */
  @Test
  void noCopyStartsWhileTheStoreIsDown() {
    startSlowTask();
    fleet.store().setFault(SimulatedStore.Fault.DOWN);
    fleet.advance(2_000);
    assertThat("starts", fleet.startsOf(TASK), is(1));
  }

  /** Guards against copies above a team's cap, or on capacity that waiting tasks need. */
  @ParameterizedTest
  @CsvSource({"1, 0, 1", "2, 0, 2", "8, 6, 2", "8, 7, 1", "9, 8, 1"})
  void copyNeedsRoomInCapAndPool(int cap, int otherTasks, int starts) {
    fleet = newFleet(true, cap);
    submitSlowTask(step());
    submit(
        new JobId("others"), step().setCount(Math.max(1, otherTasks)).setSpeculative(false), 9_000);
    if (otherTasks == 0) {
      fleet.cancel(new JobId("others"));
    }
    fleet.advance(2_000);
    assertThat("starts", fleet.startsOf(TASK), is(starts));
  }

  /** Guards against TWICE: copies of tasks that must not have any, or without the switch. */
  @ParameterizedTest
  @ValueSource(strings = {"switch", "step", "long-running", "gang", "filler", "may_miss"})
  void otherTasksGetNoCopies(String exclusion) {
    fleet = newFleet(!exclusion.equals("switch"), SLOTS);
    QueuedStep.Builder step = step();
    switch (exclusion) {
      case "step" -> step.setSpeculative(false);
      case "long-running" -> step.setLongRunning(true);
      case "gang" -> step.setGang(true);
      case "filler" -> step.setFiller(true);
      case "may_miss" -> step.setMaximumUnavailable(1);
      default -> {}
    }
    submitSlowTask(step);
    fleet.advance(4_000);
    assertThat("starts", fleet.startsOf(TASK), is(1));
  }

  /** Guards against a job of many tasks whose slowest one decides when it ends. */
  @Test
  void jobOfManyTasksDoesNotWaitForItsStraggler() {
    long withCopies = endOfJobWithStraggler(true);
    long without = endOfJobWithStraggler(false);
    assertThat("with copies", withCopies, lessThan(2 * TASK_MILLISECONDS));
    assertThat("without", without, greaterThan(SLOW_FACTOR * TASK_MILLISECONDS - 1));
  }

  private long endOfJobWithStraggler(boolean copies) {
    fleet = newFleet(copies, 2 * SLOTS);
    fleet.addWorker("w2", POOL, new ResourceVector(8_000, 8_000, 0), List.of());
    fleet.advance(START_UP_MILLISECONDS);
    long from = fleet.now();
    submitSlowTask(step().setCount(13));
    while (fleet.phase(JOB) != JobPhase.COMPLETED) {
      fleet.advance(100);
    }
    return fleet.now() - from;
  }
}
