package org.flamingochute.scheduling.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.QueueId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.Pool;
import org.flamingochute.scheduling.fleet.Queue;
import org.flamingochute.scheduling.job.JobTable;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.scheduling.worker.WorkerStatus;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.flamingochute.schema.scheduling.TaskCopy;
import org.flamingochute.schema.scheduling.TaskProgress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a start in an evacuated data centre that was recorded before the request was read,
 * and is sent after it.
 */
class WithdrawnStartTest {
  private static final PoolId POOL = new PoolId("p");
  private static final DataCentreId LOST = new DataCentreId("lost");
  private static final DataCentreId KEPT = new DataCentreId("kept");
  private static final JobId JOB = new JobId("job");

  private final JobTable stored = new JobTable();
  private final Scheduler scheduler =
      new Scheduler(
          SchedulerSettings.builder().build(), declaration(), PredecessorState.OVER, 1_000, 1_000);
  private long now = 1_000;

  private static FleetDeclaration declaration() {
    QueuePolicy policy =
        QueuePolicy.newBuilder().setService(POOL.value()).setMaximumAttempts(3).build();
    return FleetDeclaration.builder()
        .version(1)
        .queue(new Queue(new QueueId("q"), "host", "/q/", 3_000, true, policy))
        .pool(new Pool(POOL, true, false))
        .build();
  }

  private void listWorker(String name, DataCentreId dataCentre) {
    WorkerKey key = new WorkerKey(new InstanceId(name), 1);
    ResourceVector capacity = new ResourceVector(4_000, 4_096, 0);
    scheduler.onWorkerListed(
        new WorkerReport(key, POOL, name, dataCentre, capacity, List.of(), false), now);
    scheduler.onLeaseSent(key, now);
    scheduler.onLeaseRenewed(key, new WorkerStatus(1, 1, List.of(), List.of()), now, now, now);
  }

  private void submit(int count, boolean gang) {
    define(count, gang);
    scheduler.onJobStored(stored.find(JOB).orElseThrow(), now, now);
  }

  private void define(int count, boolean gang) {
    QueuedStep.Builder step =
        QueuedStep.newBuilder()
            .setCount(count)
            .setProcessorMillicores(1_000)
            .setMemoryMebibytes(100)
            .setMaximumPerWorker(1)
            .setGang(gang);
    QueuedJob job = QueuedJob.newBuilder().setQueue("q").addSteps(step).build();
    stored.define(JOB, job);
  }

  /** Decides and records; returns the starts that are to be sent. */
  private List<SchedulerCommand.StartTask> decide() {
    now += 50;
    scheduler.decide(now, now);
    SchedulerBatch batch = scheduler.takeBatch();
    batch.records().forEach(stored::updateProgress);
    List<SchedulerCommand.StartTask> starts = new ArrayList<>();
    for (SchedulerCommand command : batch.commandsAfterRecording()) {
      if (command instanceof SchedulerCommand.StartTask start) {
        starts.add(start);
      }
    }
    return starts;
  }

  private static Map<String, Integer> attemptsByWorker(List<SchedulerCommand.StartTask> starts) {
    Map<String, Integer> attempts = new TreeMap<>();
    starts.forEach(start -> attempts.put(start.worker().id().value(), start.attempt()));
    return attempts;
  }

  /**
   * The start waits for its record or for a connection; or it was marked as sent, and could not be
   * written.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void unsentStartIsWithdrawnAndPlacedElsewhere(boolean writingFailed) {
    listWorker("lost", LOST);
    submit(1, false);
    SchedulerCommand.StartTask first = decide().getFirst();
    if (writingFailed) {
      assertThat("before the request", scheduler.beginStart(first), is(true));
    }
    scheduler.onEvacuationsChanged(Set.of(LOST));
    if (writingFailed) {
      scheduler.onStartNotSent(first);
    }
    assertThat("after the request", scheduler.beginStart(first), is(false));
    assertThat("without another worker", decide().isEmpty(), is(true));
    listWorker("kept", KEPT);
    List<SchedulerCommand.StartTask> second = decide();
    assertThat(attemptsByWorker(second), is(Map.of("kept", 2)));
    assertThat("elsewhere", scheduler.beginStart(second.getFirst()), is(true));
    scheduler.onEvacuationsChanged(Set.of());
    assertThat("after the request was removed", scheduler.beginStart(first), is(false));
  }

  /**
   * Guards against a task that waits forever for a start that was refused during an evacuation that
   * ended before the next pass.
   */
  @Test
  void refusedStartIsWithdrawnWhenTheRequestEnds() {
    listWorker("lost", LOST);
    submit(1, false);
    SchedulerCommand.StartTask first = decide().getFirst();
    assertThat("before the request", scheduler.beginStart(first), is(true));
    scheduler.onEvacuationsChanged(Set.of(LOST));
    scheduler.onStartNotSent(first);
    assertThat("after the request", scheduler.beginStart(first), is(false));
    scheduler.onEvacuationsChanged(Set.of());
    assertThat(attemptsByWorker(decide()), is(Map.of("lost", 2)));
  }

  /** A start that was sent may be executed, so its task must not start elsewhere. */
  @Test
  void sentStartIsNotWithdrawn() {
    listWorker("lost", LOST);
    listWorker("full", KEPT);
    submit(1, false);
    scheduler.onEvacuationsChanged(Set.of(KEPT));
    SchedulerCommand.StartTask first = decide().getFirst();
    assertThat(scheduler.beginStart(first), is(true));
    scheduler.onEvacuationsChanged(Set.of(LOST));
    assertThat("while it may run", decide().isEmpty(), is(true));
    scheduler.onStartAnswered(first, StartOutcome.STARTED, now, now);
    assertThat("while it runs", decide().isEmpty(), is(true));
  }

  /** Guards against a gang of which one member starts and waits for another that was withdrawn. */
  @Test
  void unsentStartsOfWholeGangAreWithdrawn() {
    listWorker("lost", LOST);
    listWorker("kept-1", KEPT);
    submit(2, true);
    List<SchedulerCommand.StartTask> first = decide();
    assertThat(attemptsByWorker(first), is(Map.of("lost", 1, "kept-1", 1)));
    scheduler.onEvacuationsChanged(Set.of(LOST));
    for (SchedulerCommand.StartTask start : first) {
      assertThat(start.toString(), scheduler.beginStart(start), is(false));
    }
    listWorker("kept-2", KEPT);
    assertThat(attemptsByWorker(decide()), is(Map.of("kept-1", 2, "kept-2", 2)));
  }

  /** Guards against a gang member that starts with a number that another run of its task had. */
  @Test
  void gangStartsAboveEveryRecordedAttempt() {
    define(2, true);
    TaskCopy dropped = TaskCopy.newBuilder().setAttempt(4).build();
    TaskProgress member =
        TaskProgress.newBuilder().setIndex(1).setAttempt(1).setCopy(dropped).build();
    stored.updateProgress(JOB, JobProgress.newBuilder().addTasks(member).build());
    listWorker("kept-1", KEPT);
    listWorker("kept-2", KEPT);
    scheduler.onJobStored(stored.find(JOB).orElseThrow(), now, now);
    assertThat(attemptsByWorker(decide()), is(Map.of("kept-1", 5, "kept-2", 5)));
  }
}
