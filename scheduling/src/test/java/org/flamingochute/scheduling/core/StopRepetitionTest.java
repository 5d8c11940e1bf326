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
import org.junit.jupiter.api.Test;

/** Tests that a stop is repeated until the run is gone. */
class StopRepetitionTest {
  private static final WorkerKey WORKER = new WorkerKey(new InstanceId("w"), 1);
  private static final long RETRY_MILLISECONDS = 400;

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

  private Task startTask() {
    Job job =
        new Job(
            new JobId("j"),
            QueuedJob.newBuilder().addSteps(QueuedStep.newBuilder().setCount(1)).build(),
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
    commandTracker.onStartAnswered(start, StartOutcome.STARTED, 10, 10);
    return task;
  }

  /**
   * Guards against UNASKED: the confirmation of a stop came from a former incarnation of the
   * worker, and the run goes on in the present one.
   */
  @Test
  void confirmedStopIsRepeatedWhileTheRunIsListed() {
    Task task = startTask();
    lifecycle.stopRun(task, 20);
    SchedulerCommand.StopTask stop = new SchedulerCommand.StopTask(WORKER, task.id, 1);
    commandTracker.onStopAnswered(stop, true, 30);
    outbox.takeImmediateCommands();
    RunningTask running = new RunningTask(task.id, 1, "", 10, 0);
    WorkerStatus status = new WorkerStatus(1, 1, List.of(running), List.of());

    statusProcessor.onLeaseRenewed(WORKER, status, 40, 50, 50);
    commandTracker.retryUnanswered(20 + RETRY_MILLISECONDS);

    assertThat(outbox.takeImmediateCommands(), is(List.of(stop)));
  }

  /**
   * Guards against LOST and AVAIL: a run counts as available on an incarnation of its worker that
   * has not listed it, so that a stop of it is not repeated and others of its step are stopped.
   */
  @Test
  void runIsNotAvailableOnIncarnationThatHasNotListedIt() {
    Task task = startTask();
    RunningTask running = new RunningTask(task.id, 1, "", Task.FULL_PERCENT, 0);
    WorkerStatus status = new WorkerStatus(1, 1, List.of(running), List.of());
    statusProcessor.onLeaseRenewed(WORKER, status, 40, 50, 50);
    assertThat(task.isAvailable(), is(true));

    workerTracker.onIncarnationObserved(workers.find(WORKER).orElseThrow(), 2, 50, 60);

    assertThat(task.isAvailable(), is(false));
  }
}
