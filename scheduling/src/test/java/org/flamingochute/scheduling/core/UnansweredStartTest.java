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
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the stops of a run whose start was not answered, while another task of its step is
 * unavailable.
 */
class UnansweredStartTest {
  private static final WorkerKey WORKER = new WorkerKey(new InstanceId("w"), 1);
  private static final long STOP_DELAY_MILLISECONDS = 150;
  private static final long RETRY_MILLISECONDS = 400;
  private static final long LATER_MILLISECONDS = 2_000;

  private final SchedulerSettings settings = SchedulerSettings.builder().build();
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

  /** Sends the start of the first of two tasks, which gets no response by the given time. */
  private Task startWithoutResponse(int maximumUnavailable, long now) {
    QueuedStep step =
        QueuedStep.newBuilder()
            .setCount(2)
            .setLongRunning(true)
            .setMaximumUnavailable(maximumUnavailable)
            .build();
    Job job =
        new Job(
            new JobId("j"),
            QueuedJob.newBuilder().addSteps(step).build(),
            QueuePolicy.newBuilder().setService("p").build());
    job.addNextOccurrence();
    Task task = job.occurrences.getFirst().tasksOf(0)[0];
    workerTracker.onWorkerListed(
        new WorkerReport(
            WORKER,
            new PoolId("p"),
            "10.0.0.1:80",
            new DataCentreId("a"),
            new ResourceVector(8_000, 8_000, 0),
            List.of(),
            false),
        0);
    lifecycle.assign(task, workers.find(WORKER).orElseThrow(), 1, 0);
    SchedulerCommand.StartTask start = new SchedulerCommand.StartTask(WORKER, task.id, 1, "", "");
    commandTracker.beginStart(start);
    commandTracker.onStartAnswered(start, StartOutcome.UNKNOWN, now, now);
    return task;
  }

  private void receiveStatus(long now, RunningTask... running) {
    WorkerStatus status = new WorkerStatus(1, now, List.of(running), List.of());
    statusProcessor.onLeaseRenewed(WORKER, status, now, now, now);
  }

  private int stopsSentAt(long now) {
    commandTracker.retryUnanswered(now);
    return (int)
        outbox.takeImmediateCommands().stream()
            .filter(SchedulerCommand.StopTask.class::isInstance)
            .count();
  }

  /** Guards against AVAIL: the repetition of a stop ends a run whose start was executed late. */
  @ParameterizedTest
  @CsvSource({"0, 100", "1, 100", "1, 50"})
  void runThatIsListedBeforeItsStopIsConfirmedIsKept(int maximumUnavailable, int percent) {
    Task task = startWithoutResponse(maximumUnavailable, 0);
    receiveStatus(STOP_DELAY_MILLISECONDS);
    assertThat(stopsSentAt(STOP_DELAY_MILLISECONDS), is(1));

    receiveStatus(LATER_MILLISECONDS, new RunningTask(task.id, 1, "", percent, 0));

    assertThat(stopsSentAt(LATER_MILLISECONDS + RETRY_MILLISECONDS), is(0));
    assertThat(task.isRunning(), is(true));
  }

  /** Guards against AVAIL: a stop ends a run that nobody has asked the worker about. */
  @ParameterizedTest
  @CsvSource({"0, 1", "1, 0", "2, 1"})
  void stopIsNotRepeatedWhileTheWorkerIsSilent(int maximumUnavailable, int repetitions) {
    startWithoutResponse(maximumUnavailable, 0);
    receiveStatus(STOP_DELAY_MILLISECONDS);
    assertThat(stopsSentAt(STOP_DELAY_MILLISECONDS), is(1));

    assertThat(stopsSentAt(STOP_DELAY_MILLISECONDS + RETRY_MILLISECONDS), is(repetitions));
  }

  /** Guards against LOST: a task stays assigned since the only stop after a status was lost. */
  @ParameterizedTest
  @CsvSource({"20, 0", "50, 1", "110, 0"})
  void stopIsRepeatedWhileTheStatusIsRecent(long milliseconds, int repetitions) {
    startWithoutResponse(1, 0);
    receiveStatus(STOP_DELAY_MILLISECONDS);
    assertThat(stopsSentAt(STOP_DELAY_MILLISECONDS), is(1));

    assertThat(stopsSentAt(STOP_DELAY_MILLISECONDS + milliseconds), is(repetitions));
  }

  /** Guards against TWICE: a start that was stopped is executed after the task's next start. */
  @Test
  void stopIsRepeatedAfterEachStatusWithoutTheRun() {
    startWithoutResponse(1, 0);
    receiveStatus(STOP_DELAY_MILLISECONDS);
    assertThat(stopsSentAt(STOP_DELAY_MILLISECONDS), is(1));

    receiveStatus(LATER_MILLISECONDS);

    assertThat(stopsSentAt(LATER_MILLISECONDS), is(1));
  }

  /** Guards against AVAIL: a stalled run is stopped again although it has become available. */
  @ParameterizedTest
  @CsvSource({"100, 0, true", "50, 1, false"})
  void stopOfStalledRunIsWithdrawnOnceTheRunIsAvailable(
      int percent, int repetitions, boolean runs) {
    Task task = startWithoutResponse(1, 0);
    receiveStatus(10, new RunningTask(task.id, 1, "", 40, 0));
    lifecycle.stopStalledRun(task, 20);
    outbox.takeImmediateCommands();

    receiveStatus(LATER_MILLISECONDS, new RunningTask(task.id, 1, "", percent, 0));

    assertThat(stopsSentAt(LATER_MILLISECONDS), is(repetitions));
    assertThat(task.isRunning(), is(runs));
  }

  /** Guards against UNASKED: a run of a cancelled job is kept since its start was not answered. */
  @Test
  void stopOfUnwantedRunIsRepeatedWhileTheRunIsListed() {
    Task task = startWithoutResponse(1, 0);
    receiveStatus(STOP_DELAY_MILLISECONDS);
    assertThat(stopsSentAt(STOP_DELAY_MILLISECONDS), is(1));
    task.job.phase = JobProgress.Phase.CANCELLED;
    lifecycle.stopRun(task, LATER_MILLISECONDS);
    outbox.takeImmediateCommands();

    receiveStatus(LATER_MILLISECONDS, new RunningTask(task.id, 1, "", 100, 0));

    assertThat(stopsSentAt(LATER_MILLISECONDS + RETRY_MILLISECONDS), is(1));
  }
}
