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

/** Tests which tasks are released when the lease of their worker has expired. */
class LeaseExpiryTest {
  private static final WorkerKey WORKER = new WorkerKey(new InstanceId("w"), 5);
  private static final long LEASE_EXPIRES_AT = 1_000;
  private static final long NOW = 2_000;

  private final WorkerRegistry workers = new WorkerRegistry();
  private final TaskLifecycle lifecycle =
      new TaskLifecycle(
          new JobRegistry(),
          new TeamUsage(),
          new WorkerSuspensions(),
          new Outbox(),
          SchedulerSettings.builder().build());
  private final WorkerTracker workerTracker =
      new WorkerTracker(workers, lifecycle, SchedulerSettings.builder().build(), LEASE_EXPIRES_AT);

  // Guards against attempts that are given up before their start is sent, on a worker that responds
  // again after its lease has expired.
  @ParameterizedTest
  @CsvSource({
    "RECORDING, true",
    "SENT, false",
    "UNCERTAIN, false",
    "RUNNING, false",
    "STOPPING, false"
  })
  void startThatIsBeingRecordedOutlastsAnEarlierLease(
      Task.RunState state, boolean remainsAssigned) {
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
        NOW);
    lifecycle.assign(task, workers.find(WORKER).orElseThrow(), 1, NOW);
    task.runState = state;
    workerTracker.expireLeases(NOW);
    assertThat(task.isAssigned(), is(remainsAssigned));
  }
}
