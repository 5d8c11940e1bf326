package org.flamingochute.scheduling.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.duration.LearnedDurations;
import org.flamingochute.scheduling.worker.EndReason;
import org.flamingochute.scheduling.worker.FinishedTask;
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
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Only full runs at full pace, whose begin and end are known, may be observed as durations. */
class DurationObservationTest {
  private static final WorkerKey WORKER = new WorkerKey(new InstanceId("w"), 1);
  private static final WorkerKey OTHER_WORKER = new WorkerKey(new InstanceId("other"), 1);
  private static final int RUNS = 20;
  private static final long ESTIMATE_MILLISECONDS = 100;
  private static final long DURATION_MILLISECONDS = 1_000;
  private static final long ANSWER_MILLISECONDS = 20;
  private static final long SILENCE_MILLISECONDS = 3_000;

  /** Why the time from the start of a run to its end is not the duration of its task. */
  private enum Disturbance {
    RESUMED_FROM_CHECKPOINT,
    INHERITED,
    PACED,
    ON_SLOW_WORKER,
    WORKER_SILENT,
    TAKEN_UP_AGAIN,
    STOP_WITHDRAWN,
    START_UNANSWERED
  }

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
  private final LearnedDurations durations = new LearnedDurations();
  private final List<FinishedTask> finished = new ArrayList<>();
  private long now = 1_000;

  @BeforeEach
  void listWorkers() {
    for (WorkerKey key : List.of(WORKER, OTHER_WORKER)) {
      workerTracker.onWorkerListed(
          new WorkerReport(
              key,
              new PoolId("p"),
              key.id().value(),
              new DataCentreId("a"),
              new ResourceVector(8_000, 8_000, 0),
              List.of(),
              false),
          now);
    }
  }

  private Worker worker() {
    return workers.find(WORKER).orElseThrow();
  }

  private Worker otherWorker() {
    return workers.find(OTHER_WORKER).orElseThrow();
  }

  private Task submit(int number) {
    QueuedStep step =
        QueuedStep.newBuilder()
            .setCount(1)
            .setImage("i")
            .setFiller(true)
            .setEstimateMilliseconds(ESTIMATE_MILLISECONDS)
            .build();
    Job job =
        new Job(
            new JobId("j" + number),
            QueuedJob.newBuilder().setQueue("q").addSteps(step).build(),
            QueuePolicy.newBuilder().setService("p").build(),
            durations);
    jobs.add(job);
    job.addNextOccurrence();
    return job.occurrences.getFirst().task(0, 0);
  }

  private void start(Task task, StartOutcome outcome) {
    lifecycle.assign(task, worker(), 1, now);
    answerStart(WORKER, task, outcome);
  }

  private void answerStart(WorkerKey worker, Task run, StartOutcome outcome) {
    SchedulerCommand.StartTask start =
        new SchedulerCommand.StartTask(worker, run.id, run.attempt, "", "");
    commandTracker.beginStart(start);
    now += ANSWER_MILLISECONDS;
    commandTracker.onStartAnswered(start, outcome, now, now);
  }

  private void list(Task task, int percent) {
    receive(WORKER, List.of(running(task, percent)));
  }

  private static RunningTask running(Task run, int percent) {
    return new RunningTask(run.id, run.attempt, "", percent, 0);
  }

  private void end(Task task) {
    end(WORKER, task);
  }

  private void end(WorkerKey worker, Task run) {
    finished.add(new FinishedTask(finished.size() + 1, run.id, run.attempt, EndReason.DONE, ""));
    receive(worker, List.of());
    assertThat(run.original().isDone(), is(true));
  }

  private void receive(WorkerKey worker, List<RunningTask> running) {
    WorkerStatus status = new WorkerStatus(1, now, running, finished);
    statusProcessor.onLeaseRenewed(worker, status, now, now, now);
  }

  private void run(Task task, Disturbance disturbance) {
    if (disturbance == Disturbance.INHERITED) {
      task.attempt = 1;
      task.phase = TaskProgress.Phase.ASSIGNED;
      lifecycle.restoreAssignment(task, WORKER, worker(), now);
    } else {
      task.checkpoint = disturbance == Disturbance.RESUMED_FROM_CHECKPOINT ? "half" : "";
      boolean answered = disturbance != Disturbance.START_UNANSWERED;
      start(task, answered ? StartOutcome.STARTED : StartOutcome.UNKNOWN);
    }
    now += DURATION_MILLISECONDS / 2;
    list(task, 50);
    disturb(task, disturbance);
    now += DURATION_MILLISECONDS / 2;
    end(task);
  }

  private void disturb(Task task, Disturbance disturbance) {
    switch (disturbance) {
      case ON_SLOW_WORKER -> worker().slow = true;
      case WORKER_SILENT -> now += SILENCE_MILLISECONDS;
      case TAKEN_UP_AGAIN -> {
        lifecycle.releaseWithoutEnd(task, "lease_expired");
        list(task, 60);
      }
      case STOP_WITHDRAWN -> {
        lifecycle.stopUncertainRun(task, now);
        list(task, 60);
      }
      case PACED -> pace(task);
      default -> {}
    }
  }

  /** Slows the task as a filler beside a serving task, and lets it run at full pace again. */
  private void pace(Task task) {
    Job owner =
        new Job(
            new JobId("s"),
            QueuedJob.newBuilder()
                .addSteps(
                    QueuedStep.newBuilder()
                        .setCount(1)
                        .setLongRunning(true)
                        .setTailTargetMilliseconds(100))
                .build(),
            QueuePolicy.newBuilder().setService("p").build());
    owner.addNextOccurrence();
    Task serving = owner.occurrences.getFirst().task(0, 0);
    lifecycle.assign(serving, worker(), 1, now);
    serving.runState = Task.RunState.RUNNING;
    serving.confirmedAt = Long.MAX_VALUE;
    serving.reportedUsage = 200;
    FillerPacer pacer = new FillerPacer(workers, outbox);
    pacer.updatePaces(now);
    assertThat(task.pacePercent, is(50));
    task.pacePercent = Task.FULL_PERCENT;
    lifecycle.stopRun(serving, now);
    lifecycle.release(serving, "stopped");
  }

  @Test
  void fullRunsAreObserved() {
    Task task = submit(0);
    for (int i = 0; i < RUNS; i++) {
      task = submit(i);
      start(task, StartOutcome.STARTED);
      now += DURATION_MILLISECONDS / 2;
      list(task, 50);
      now += DURATION_MILLISECONDS / 2;
      end(task);
    }
    assertThat(durations.expectedMilliseconds(task.step, "q"), is(DURATION_MILLISECONDS));
  }

  /**
   * Guards against a duration that counts from the start of the slow first run, both for a copy
   * that succeeds beside it and for one that has become the only run.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void copyIsMeasuredFromItsOwnStart(boolean promoted) {
    Task task = submit(0);
    for (int i = 0; i < RUNS; i++) {
      task = submit(i);
      start(task, StartOutcome.STARTED);
      now += DURATION_MILLISECONDS;
      lifecycle.startCopy(task, otherWorker(), now);
      Task run = task.copy.orElseThrow();
      answerStart(OTHER_WORKER, run, StartOutcome.STARTED);
      if (promoted) {
        lifecycle.release(task, "failed");
        run = task;
      }
      now += DURATION_MILLISECONDS / 2;
      receive(OTHER_WORKER, List.of(running(run, 50)));
      now += DURATION_MILLISECONDS / 2;
      end(OTHER_WORKER, run);
    }
    assertThat(durations.expectedMilliseconds(task.step, "q"), is(DURATION_MILLISECONDS));
  }

  @ParameterizedTest
  @EnumSource(Disturbance.class)
  void disturbedRunsAreNotObserved(Disturbance disturbance) {
    Task task = submit(0);
    for (int i = 0; i < RUNS; i++) {
      task = submit(i);
      run(task, disturbance);
    }
    assertThat(durations.expectedMilliseconds(task.step, "q"), is(ESTIMATE_MILLISECONDS));
  }
}
