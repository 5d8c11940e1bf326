package org.flamingochute.scheduling.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against AVAIL: a task is stopped for a wave while another task of its step is on a worker
 * that does not respond, and one may be unavailable.
 */
class WorkerEvacuatorTest {
  private final TaskLifecycle lifecycle =
      new TaskLifecycle(
          new JobRegistry(),
          new TeamUsage(),
          new WorkerSuspensions(),
          new Outbox(),
          SchedulerSettings.builder().build());

  private static Worker worker(String id) {
    WorkerReport report =
        new WorkerReport(
            new WorkerKey(new InstanceId(id), 1),
            new PoolId("p"),
            "10.0.0.1:80",
            new DataCentreId("a"),
            new ResourceVector(8_000, 8_000, 0),
            List.of(),
            false);
    return new Worker(report, 10_000);
  }

  private void run(Task task, Worker worker) {
    lifecycle.assign(task, worker, 1, 0);
    task.runState = Task.RunState.RUNNING;
    task.percent = Task.FULL_PERCENT;
  }

  @ParameterizedTest
  @CsvSource({"false, true", "true, false"})
  void taskOnSilentWorkerCountsAsUnavailable(boolean otherWorkerIsSilent, boolean canStop) {
    QueuedStep step =
        QueuedStep.newBuilder().setCount(2).setLongRunning(true).setMaximumUnavailable(1).build();
    Job job =
        new Job(
            new JobId("j"),
            QueuedJob.newBuilder().addSteps(step).build(),
            QueuePolicy.newBuilder().setService("p").build());
    job.addNextOccurrence();
    Task[] tasks = job.occurrences.getFirst().tasksOf(0);
    Worker other = worker("w2");
    run(tasks[0], worker("w1"));
    run(tasks[1], other);
    other.unreachable = otherWorkerIsSilent;
    assertThat(WorkerEvacuator.canStop(tasks[0]), is(canStop));
  }
}
