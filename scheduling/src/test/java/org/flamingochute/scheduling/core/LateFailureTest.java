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
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against LOST: a failure that is listed after its task is done ends the job as failed. */
class LateFailureTest {
  private static final long NOW = 1_000;

  private final JobRegistry jobs = new JobRegistry();
  private final TaskLifecycle lifecycle =
      new TaskLifecycle(
          jobs,
          new TeamUsage(),
          new WorkerSuspensions(),
          new Outbox(),
          SchedulerSettings.builder().build());
  private final Worker worker =
      new Worker(
          new WorkerReport(
              new WorkerKey(new InstanceId("w"), 1),
              new PoolId("p"),
              "w",
              new DataCentreId("a"),
              new ResourceVector(8_000, 8_000, 0),
              List.of(),
              false),
          0);

  private Job createJob(boolean gang) {
    QueuedStep step = QueuedStep.newBuilder().setCount(1).setGang(gang).build();
    Job job =
        new Job(
            new JobId("j"),
            QueuedJob.newBuilder()
                .addSteps(step)
                .addSteps(step.toBuilder().addDependencies(0))
                .build(),
            QueuePolicy.newBuilder().setService("p").setMaximumAttempts(1).build());
    job.addNextOccurrence();
    jobs.add(job);
    return job;
  }

  @ParameterizedTest
  @CsvSource({"false, true", "false, false", "true, true", "true, false"})
  void failureCountsOnlyWhileItsTaskIsNotDone(boolean gang, boolean done) {
    Job job = createJob(gang);
    Task task = job.occurrences.getFirst().task(0, 0);
    lifecycle.assign(task, worker, 1, NOW);
    lifecycle.releaseWithoutEnd(task, "lease_expired");
    lifecycle.assign(task, worker, 2, NOW);
    if (done) {
      lifecycle.onRunEnded(task, EndReason.DONE, "", NOW, NOW);
    }
    lifecycle.onEarlierRunEnded(task, 1, EndReason.FAILED, NOW, NOW);
    assertThat(job.isOpen(), is(done));
  }
}
