package org.flamingochute.scheduling.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.worker.RunningTask;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.scheduling.worker.WorkerStatus;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.flamingochute.schema.scheduling.TaskProgress;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what a response of another incarnation proves about a worker's runs and its lease. */
class LaterIncarnationTest {
  private static final WorkerKey FORMER = new WorkerKey(new InstanceId("w"), 5);
  private static final WorkerKey LATER = new WorkerKey(new InstanceId("w"), 9);

  private final SchedulerSettings settings =
      SchedulerSettings.builder().maximumLeaseMilliseconds(10_000).build();
  private final WorkerRegistry workers = new WorkerRegistry();
  private final Outbox outbox = new Outbox();
  private final JobRegistry jobs = new JobRegistry();
  private final TaskLifecycle lifecycle =
      new TaskLifecycle(jobs, new TeamUsage(), new WorkerSuspensions(), outbox, settings);
  private final WorkerTracker workerTracker = new WorkerTracker(workers, lifecycle, settings, 0);
  private final CommandTracker commandTracker =
      new CommandTracker(workers, workerTracker, lifecycle);
  private final WorkerStatusProcessor statusProcessor =
      new WorkerStatusProcessor(workers, workerTracker, jobs, lifecycle, outbox);
  private final Job job =
      new Job(
          new JobId("j"),
          QueuedJob.newBuilder().addSteps(QueuedStep.newBuilder().setCount(1)).build(),
          QueuePolicy.newBuilder().setService("p").build());
  private Task task;
  private SchedulerCommand.StartTask start;

  @BeforeEach
  void sendStart() {
    job.addNextOccurrence();
    task = job.occurrences.getFirst().tasksOf(0)[0];
    workerTracker.onWorkerListed(report(FORMER), 0);
    lifecycle.assign(task, workers.find(FORMER).orElseThrow(), 1, 0);
    start = new SchedulerCommand.StartTask(FORMER, task.id, 1, "", "");
    commandTracker.beginStart(start);
    workerTracker.onLeaseSent(FORMER, 10);
  }

  private static WorkerReport report(WorkerKey key) {
    return new WorkerReport(
        key,
        new PoolId("p"),
        "10.0.0.1:80",
        new DataCentreId("a"),
        new ResourceVector(8_000, 8_000, 0),
        List.of(),
        false);
  }

  private void receiveStatus(WorkerKey called, long started, long sentAt, RunningTask... running) {
    WorkerStatus status = new WorkerStatus(started, 1, List.of(running), List.of());
    statusProcessor.onLeaseRenewed(called, status, sentAt, sentAt + 10, sentAt + 10);
  }

  private RunningTask running() {
    return new RunningTask(task.id, 1, "", 10, 0);
  }

  // Guards against LOST: a task waits for a lease although its worker has started again.
  @ParameterizedTest
  @EnumSource(
      value = StartOutcome.class,
      names = {"STARTED", "SUPERSEDED"})
  void responseOfLaterIncarnationEndsRunsOfFormerOne(StartOutcome outcome) {
    commandTracker.onStartAnswered(start, outcome, 20, 20);

    receiveStatus(FORMER, LATER.startedMilliseconds(), 30);

    assertThat(task.isWaiting(), is(true));
    assertThat(workers.find(LATER).isPresent(), is(true));
  }

  // Guards against TWICE: a start without a response reaches the incarnation after the one that it
  // was sent to, while its task runs elsewhere. Guards against LOST: the task waits for a lease.
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void unansweredStartIsStoppedAtLaterIncarnationBeforeItsTaskIsReleased(boolean answered) {
    if (answered) {
      commandTracker.onStartAnswered(start, StartOutcome.UNKNOWN, 20, 20);
    }
    receiveStatus(FORMER, LATER.startedMilliseconds(), 30);

    assertThat(task.isAssigned(), is(true));
    SchedulerCommand.StopTask stop = new SchedulerCommand.StopTask(LATER, task.id, 1);
    assertThat(outbox.takeImmediateCommands(), is(List.of(stop)));
    commandTracker.onStopAnswered(new SchedulerCommand.StopTask(FORMER, task.id, 1), true, 45);
    receiveStatus(LATER, LATER.startedMilliseconds(), 50);
    assertThat("stop confirmed by the former incarnation", task.isAssigned(), is(true));
    commandTracker.onStopAnswered(stop, true, 60);
    receiveStatus(LATER, LATER.startedMilliseconds(), 70);
    assertThat("stop confirmed by the later incarnation", task.isWaiting(), is(true));
  }

  // Guards against waits of a new leader: workers refuse the starts of its predecessor.
  @Test
  void startOfPreviousLeaderIsNotStoppedAtLaterIncarnation() {
    lifecycle.release(task, "test");
    task.phase = TaskProgress.Phase.ASSIGNED;
    lifecycle.restoreAssignment(task, FORMER, workers.find(FORMER).orElseThrow(), 20);

    receiveStatus(FORMER, LATER.startedMilliseconds(), 30);

    assertThat(task.isWaiting(), is(true));
  }

  // Guards against LOST: a stop to a worker that has started again is repeated without end.
  @Test
  void responseOfLaterIncarnationEndsRunThatIsBeingStopped() {
    commandTracker.onStartAnswered(start, StartOutcome.STARTED, 20, 20);
    lifecycle.stopRun(task, 25);

    receiveStatus(FORMER, LATER.startedMilliseconds(), 30);

    assertThat(task.isWaiting(), is(true));
  }

  // Guards against TWICE: a report in the store ends the runs of a worker that has not ended.
  @Test
  void reportOfLaterIncarnationEndsNoRunBeforeItResponds() {
    commandTracker.onStartAnswered(start, StartOutcome.STARTED, 20, 20);

    workerTracker.onWorkerListed(report(LATER), 30);
    assertThat("listed", task.isAssigned(), is(true));
    assertThat("incarnation in the record", task.toProgress().getWorkerBornMilliseconds(), is(5L));

    receiveStatus(LATER, LATER.startedMilliseconds(), 40);
    assertThat("responded", task.isWaiting(), is(true));
  }

  // Guards against TWICE: the response of an earlier incarnation ends the runs of a later one.
  @Test
  void responseOfEarlierIncarnationEndsNoUnansweredStart() {
    receiveStatus(FORMER, 3, 30);

    assertThat(task.isAssigned(), is(true));
  }

  // Guards against TWICE: a later incarnation executes a start although none should reach it.
  @Test
  void longestLeaseIsCountedForStartExecutedByLaterIncarnation() {
    commandTracker.onStartAnswered(start, StartOutcome.STARTED_BY_LATER_INCARNATION, 100, 100);
    receiveStatus(FORMER, LATER.startedMilliseconds(), 90);

    workerTracker.expireLeases(100 + settings.longestLeaseExpiryMilliseconds() - 1);
    assertThat("before the expiry", task.isAssigned(), is(true));
    workerTracker.expireLeases(100 + settings.longestLeaseExpiryMilliseconds());
    assertThat("at the expiry", task.isAssigned(), is(false));
  }

  // Guards against TWICE: a later incarnation lists a run although no start should reach it.
  @Test
  void runThatLaterIncarnationListsIsKept() {
    commandTracker.onStartAnswered(start, StartOutcome.UNKNOWN, 20, 20);

    receiveStatus(FORMER, LATER.startedMilliseconds(), 30, running());
    assertThat(task.isAssigned(), is(true));
    receiveStatus(LATER, LATER.startedMilliseconds(), 50, running());

    assertThat(task.isRunning(), is(true));
    assertThat(task.toProgress().getWorkerBornMilliseconds(), is(9L));
  }

  // Guards against TWICE: a deadline reaches a later incarnation, which takes the longest lease.
  @ParameterizedTest
  @CsvSource({"10, true", "11, false"})
  void longestLeaseIsCountedIfCallWithDeadlineReachedLaterIncarnation(
      long sentAt, boolean longest) {
    receiveStatus(FORMER, LATER.startedMilliseconds(), sentAt);

    long usual = 10 + settings.leaseExpiryMilliseconds();
    long expected = longest ? sentAt + 10 + settings.longestLeaseExpiryMilliseconds() : usual;
    assertThat(workers.find(LATER).orElseThrow().leaseExpiresAt, is(expected));
  }

  // Guards against waits for the longest lease because a start was sent while a status was read.
  @Test
  void startBesideReadOfStatusIsNoEvidenceOfLongestLease() {
    workerTracker.onStartSent(FORMER, 40);
    receiveStatus(FORMER, LATER.startedMilliseconds(), 30);

    assertThat(
        workers.find(LATER).orElseThrow().leaseExpiresAt,
        is(40 + settings.leaseExpiryMilliseconds()));
  }
}
