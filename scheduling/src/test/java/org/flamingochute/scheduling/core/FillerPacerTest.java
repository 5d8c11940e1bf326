package org.flamingochute.scheduling.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.flamingochute.schema.scheduling.TaskProgress;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Fillers must be slowed in time when the tail latency of a serving task on their worker rises. */
class FillerPacerTest {
  private static final long TAIL_TARGET_MILLISECONDS = 100;
  private static final WorkerReport REPORT =
      new WorkerReport(
          new WorkerKey(new InstanceId("w"), 1),
          new PoolId("p"),
          "10.0.0.1:1",
          new DataCentreId("a"),
          new ResourceVector(8_000, 8_000, 0),
          List.of(),
          false);

  private final WorkerRegistry workers = new WorkerRegistry();
  private final Outbox outbox = new Outbox();
  private final FillerPacer pacer = new FillerPacer(workers, outbox);
  private final Worker worker = new Worker(REPORT, 0);
  private final Task serving =
      task(
          "s",
          QueuedStep.newBuilder()
              .setLongRunning(true)
              .setTailTargetMilliseconds(TAIL_TARGET_MILLISECONDS));
  private final Task filler = task("f", QueuedStep.newBuilder().setFiller(true));

  private static Task task(String job, QueuedStep.Builder step) {
    QueuedJob definition = QueuedJob.newBuilder().addSteps(step.setCount(1)).build();
    Job owner =
        new Job(new JobId(job), definition, QueuePolicy.newBuilder().setService("p").build());
    owner.addDueOccurrences(0);
    Task task = owner.findTask(0, 0, 0).orElseThrow();
    task.phase = TaskProgress.Phase.ASSIGNED;
    task.runState = Task.RunState.RUNNING;
    task.attempt = 1;
    return task;
  }

  @BeforeEach
  void addTasksToWorker() {
    workers.add(worker);
    worker.add(serving);
    worker.add(filler);
  }

  private void advanceWithTail(long tail, long from, long until) {
    serving.reportedUsage = tail;
    for (long now = from; now <= until; now += 100) {
      pacer.updatePaces(now);
    }
  }

  @Test
  void tailAtItsTargetStopsTheFillerInTime() {
    advanceWithTail(TAIL_TARGET_MILLISECONDS, 0, 3_000);
    assertThat(filler.pacePercent, is(0));
    TaskId pacedTask =
        ((SchedulerCommand.PaceTask) outbox.takeImmediateCommands().getFirst()).task();
    assertThat(pacedTask, is(filler.id));
  }

  @Test
  void lowTailDoesNotSlowTheFiller() {
    advanceWithTail(TAIL_TARGET_MILLISECONDS / 2, 0, 5_000);
    assertThat(filler.pacePercent, is(Task.FULL_PERCENT));
    assertThat(outbox.isEmpty(), is(true));
  }

  @Test
  void theFillerSpeedsUpSlowlyWhenTheTailIsLowAgain() {
    advanceWithTail(TAIL_TARGET_MILLISECONDS, 0, 3_000);
    advanceWithTail(TAIL_TARGET_MILLISECONDS / 2, 3_100, 4_300);
    assertThat(filler.pacePercent, is(0));
    advanceWithTail(TAIL_TARGET_MILLISECONDS / 2, 4_400, 30_000);
    assertThat(filler.pacePercent, is(Task.FULL_PERCENT));
  }

  @Test
  void tailBetweenTheThresholdsChangesNothing() {
    advanceWithTail(TAIL_TARGET_MILLISECONDS, 0, 100);
    int paced = filler.pacePercent;
    advanceWithTail(TAIL_TARGET_MILLISECONDS * 7 / 10, 200, 20_000);
    assertThat(filler.pacePercent, is(paced));
    assertThat(paced, greaterThan(0));
  }
}
