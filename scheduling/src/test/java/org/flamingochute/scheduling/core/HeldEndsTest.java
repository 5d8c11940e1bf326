package org.flamingochute.scheduling.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.worker.EndReason;
import org.flamingochute.scheduling.worker.FinishedTask;
import org.flamingochute.scheduling.worker.RunningTask;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.scheduling.worker.WorkerStatus;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests when the success of a task's first run is acknowledged, while the start of its copy has not
 * been answered.
 */
class HeldEndsTest {
  private static final WorkerKey FIRST = new WorkerKey(new InstanceId("first"), 1);
  private static final WorkerKey OTHER = new WorkerKey(new InstanceId("other"), 1);

  private final SchedulerSettings settings =
      SchedulerSettings.builder()
          .features(SchedulingFeatures.builder().speculativeCopies(true).build())
          .build();
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
  private Task task;

  @BeforeEach
  void startCopy() {
    Job job =
        new Job(
            new JobId("j"),
            QueuedJob.newBuilder()
                .addSteps(QueuedStep.newBuilder().setCount(2).setSpeculative(true))
                .build(),
            QueuePolicy.newBuilder().setService("p").build());
    job.addNextOccurrence();
    jobs.add(job);
    task = job.occurrences.getFirst().tasksOf(0)[0];
    for (WorkerKey key : List.of(FIRST, OTHER)) {
      workerTracker.onWorkerListed(
          new WorkerReport(
              key,
              new PoolId("p"),
              key.id().value(),
              new DataCentreId("a"),
              new ResourceVector(8_000, 8_000, 0),
              List.of(),
              false),
          0);
    }
    lifecycle.assign(task, workers.find(FIRST).orElseThrow(), 1, 0);
    send(FIRST, 1);
    answer(FIRST, 1, StartOutcome.STARTED, 10);
    lifecycle.startCopy(task, workers.find(OTHER).orElseThrow(), 20);
    send(OTHER, 2);
    answer(OTHER, 2, StartOutcome.UNKNOWN, 30);
    outbox.takeBatch();
  }

  private void send(WorkerKey worker, int attempt) {
    commandTracker.beginStart(new SchedulerCommand.StartTask(worker, task.id, attempt, "", ""));
  }

  private void answer(WorkerKey worker, int attempt, StartOutcome outcome, long now) {
    commandTracker.onStartAnswered(
        new SchedulerCommand.StartTask(worker, task.id, attempt, "", ""), outcome, now, now);
  }

  private void receiveStatus(
      WorkerKey worker, List<RunningTask> running, List<FinishedTask> finished, long now) {
    statusProcessor.onLeaseRenewed(
        worker, new WorkerStatus(1, now, running, finished), now, now, now);
  }

  private void firstRunSucceeds() {
    receiveStatus(
        FIRST, List.of(), List.of(new FinishedTask(1, task.id, 1, EndReason.DONE, "")), 100);
  }

  private long acknowledgementsAfterStatusAt(long now) {
    receiveStatus(FIRST, List.of(), List.of(), now);
    return outbox.takeBatch().commandsAfterRecording().stream()
        .filter(SchedulerCommand.AcknowledgeFinishedRuns.class::isInstance)
        .count();
  }

  /** Guards against a copy that starts after the success of its task was acknowledged. */
  @Test
  void successIsAcknowledgedOnceTheStopOfTheCopyIsConfirmed() {
    firstRunSucceeds();
    assertThat(task.isDone(), is(true));
    assertThat(acknowledgementsAfterStatusAt(200), is(0L));

    commandTracker.onStopAnswered(new SchedulerCommand.StopTask(OTHER, task.id, 2), true, 300);
    assertThat(acknowledgementsAfterStatusAt(310), is(0L));
    receiveStatus(OTHER, List.of(), List.of(), 320);

    assertThat(acknowledgementsAfterStatusAt(330), is(1L));
  }

  /** Guards against ends that stay listed although the copy was started before. */
  @Test
  void successIsAcknowledgedOnceTheCopyIsListed() {
    firstRunSucceeds();
    receiveStatus(OTHER, List.of(new RunningTask(task.id, 2, "", 10, 0)), List.of(), 200);

    assertThat(acknowledgementsAfterStatusAt(210), is(1L));
    assertThat(task.copy.orElseThrow().runState, is(Task.RunState.STOPPING));
  }

  /** Guards against LOST: a failure of the copy after its task is done ends the job. */
  @Test
  void failureOfCopyAfterSuccessDoesNotCount() {
    firstRunSucceeds();
    receiveStatus(
        OTHER, List.of(), List.of(new FinishedTask(1, task.id, 2, EndReason.FAILED, "")), 200);

    assertThat(task.failures, is(0));
    assertThat(task.job.isOpen(), is(true));
    assertThat(task.copy.isEmpty(), is(true));
  }

  /** Guards against LOST: a success that a silent worker lists after its lease is ignored. */
  @Test
  void lateSuccessOfDroppedCopyCompletesTheTask() {
    lifecycle.releaseWithoutEnd(task.copy.orElseThrow(), "lease_expired");
    assertThat(task.nextAttempt(), is(3));
    receiveStatus(
        OTHER, List.of(), List.of(new FinishedTask(1, task.id, 2, EndReason.DONE, "")), 200);

    assertThat(task.isDone(), is(true));
    assertThat(task.copy.orElseThrow().workerKey.orElseThrow(), is(FIRST));
    assertThat(task.copy.orElseThrow().runState, is(Task.RunState.STOPPING));
  }
}
