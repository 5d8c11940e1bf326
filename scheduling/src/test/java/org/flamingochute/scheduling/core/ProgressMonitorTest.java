package org.flamingochute.scheduling.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.duration.LearnedDurations;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Stalled runs and slow workers must be told by the durations that are expected. */
class ProgressMonitorTest {
  private static final String QUEUE = "q";
  private static final int WORKERS = 5;
  private static final int RUNS = 20;
  private static final long UNCHANGED_MILLISECONDS = 2_000;

  private final WorkerRegistry workers = new WorkerRegistry();
  private final LearnedDurations durations = new LearnedDurations();
  private final TaskLifecycle lifecycle =
      new TaskLifecycle(
          new JobRegistry(),
          new TeamUsage(),
          new WorkerSuspensions(),
          new Outbox(),
          SchedulerSettings.builder().build());
  private final ProgressMonitor monitor = new ProgressMonitor(workers, lifecycle, durations);

  private Worker addWorker(int number) {
    Worker worker =
        new Worker(
            new WorkerReport(
                new WorkerKey(new InstanceId("w" + number), 1),
                new PoolId("p"),
                "10.0.0.1:" + number,
                new DataCentreId("a"),
                new ResourceVector(8_000, 8_000, 0),
                List.of(),
                false),
            0);
    workers.add(worker);
    return worker;
  }

  private static QueuedStep step(long estimate) {
    return QueuedStep.newBuilder()
        .setCount(1)
        .setImage("i")
        .setEstimateMilliseconds(estimate)
        .build();
  }

  private Task startTask(Worker worker, long estimate) {
    Job job =
        new Job(
            new JobId("j"),
            QueuedJob.newBuilder().setQueue(QUEUE).addSteps(step(estimate)).build(),
            QueuePolicy.newBuilder().setService("p").build(),
            durations);
    job.addNextOccurrence();
    Task task = job.occurrences.getFirst().task(0, 0);
    lifecycle.assign(task, worker, 1, 0);
    task.runState = Task.RunState.RUNNING;
    return task;
  }

  private void learn(long estimate, long milliseconds) {
    for (int i = 0; i < RUNS; i++) {
      durations.observe(step(estimate), QUEUE, milliseconds);
    }
  }

  // Guards against healthy runs of a long task, whose estimate is too low, that are stopped since
  // their percentage stays the same for seconds, and against stalled runs that are kept since
  // their estimate is too high.
  @ParameterizedTest
  @CsvSource({"10000, 0, true", "10000, 60000, false", "60000, 0, false", "60000, 6000, true"})
  void stalledRunIsStoppedIfItsExpectedDurationIsShort(
      long estimate, long learned, boolean isStopped) {
    Task task = startTask(addWorker(0), estimate);
    if (learned > 0) {
      learn(estimate, learned);
    }
    task.statusReceivedAt = UNCHANGED_MILLISECONDS;
    monitor.update(UNCHANGED_MILLISECONDS);
    assertThat(task.runState == Task.RunState.STOPPING, is(isStopped));
  }

  // Guards against a healthy worker that is marked as slow since idle ones keep speeds relative
  // to estimates that were ten times too high.
  @Test
  void speedsOfIdleWorkersAreForgottenWhenThePredictorChanges() {
    for (int i = 0; i < WORKERS; i++) {
      Worker worker = addWorker(i);
      for (int sample = 0; sample < RUNS; sample++) {
        worker.speed.observe(50, 500, 10_000);
      }
    }
    Worker busy = workers.all().iterator().next();
    startTask(busy, 10_000);
    monitor.update(0);
    learn(10_000, 1_000);
    for (int sample = 0; sample < RUNS; sample++) {
      busy.speed.observe(50, 500, 1_000);
    }
    monitor.update(0);
    assertThat(busy.slow, is(false));
  }

  // Guards against a slow worker that is not told from others while the predictor stays the same.
  @Test
  void slowWorkerIsMarked() {
    for (int i = 0; i < WORKERS; i++) {
      Worker worker = addWorker(i);
      for (int sample = 0; sample < RUNS; sample++) {
        worker.speed.observe(50, i == 0 ? 2_000 : 500, 1_000);
      }
    }
    monitor.update(0);
    assertThat(
        workers.all().stream().map(worker -> worker.slow).toList(),
        is(List.of(true, false, false, false, false)));
  }
}
