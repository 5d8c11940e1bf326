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
import org.junit.jupiter.api.Test;

/**
 * Guards against TWICE: a process that took the address of a worker's former incarnation refuses a
 * start, and the runs of the incarnation at another address are released.
 */
class ReplacedWorkerTest {
  private static final WorkerKey FORMER = new WorkerKey(new InstanceId("w"), 1);
  private static final WorkerKey SUCCESSOR = new WorkerKey(new InstanceId("w"), 2);

  private final SchedulerSettings settings = SchedulerSettings.builder().build();
  private final WorkerRegistry workers = new WorkerRegistry();
  private final TaskLifecycle lifecycle =
      new TaskLifecycle(
          new JobRegistry(), new TeamUsage(), new WorkerSuspensions(), new Outbox(), settings);
  private final WorkerTracker workerTracker = new WorkerTracker(workers, lifecycle, settings, 0);
  private final CommandTracker commandTracker =
      new CommandTracker(workers, workerTracker, lifecycle);

  private static WorkerReport report(WorkerKey key, String address) {
    return new WorkerReport(
        key,
        new PoolId("p"),
        address,
        new DataCentreId("a"),
        new ResourceVector(8_000, 8_000, 0),
        List.of(),
        false);
  }

  private SchedulerCommand.StartTask sendStart(Task task, WorkerKey key) {
    lifecycle.assign(task, workers.find(key).orElseThrow(), 1, 0);
    SchedulerCommand.StartTask start = new SchedulerCommand.StartTask(key, task.id, 1, "", "");
    commandTracker.beginStart(start);
    return start;
  }

  @Test
  void refusalAtFormerAddressSaysNothingAboutSuccessor() {
    QueuedStep step = QueuedStep.newBuilder().setCount(2).build();
    Job job =
        new Job(
            new JobId("j"),
            QueuedJob.newBuilder().addSteps(step).build(),
            QueuePolicy.newBuilder().setService("p").build());
    job.addNextOccurrence();
    Task first = job.occurrences.getFirst().tasksOf(0)[0];
    Task second = job.occurrences.getFirst().tasksOf(0)[1];
    workerTracker.onWorkerListed(report(FORMER, "10.0.0.1:80"), 0);
    final SchedulerCommand.StartTask startOfFormer = sendStart(first, FORMER);
    workerTracker.onWorkerListed(report(SUCCESSOR, "10.0.0.2:80"), 10);
    SchedulerCommand.StartTask startOfSuccessor = sendStart(second, SUCCESSOR);
    commandTracker.onStartAnswered(startOfSuccessor, StartOutcome.STARTED, 20, 20);

    commandTracker.onStartAnswered(startOfFormer, StartOutcome.GONE, 30, 30);

    assertThat("run of the successor", second.isAssigned(), is(true));
    assertThat("refused start", first.isWaiting(), is(true));
    assertThat("successor", workers.find(SUCCESSOR).isPresent(), is(true));
  }
}
