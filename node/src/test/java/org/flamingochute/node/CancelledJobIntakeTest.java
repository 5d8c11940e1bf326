package org.flamingochute.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.QueueId;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.node.store.ScheduleKeys;
import org.flamingochute.platform.wire.StoreRecord;
import org.flamingochute.scheduling.core.PredecessorState;
import org.flamingochute.scheduling.core.Scheduler;
import org.flamingochute.scheduling.core.SchedulerBatch;
import org.flamingochute.scheduling.core.SchedulerCommand;
import org.flamingochute.scheduling.core.SchedulerSettings;
import org.flamingochute.scheduling.core.StartOutcome;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.Pool;
import org.flamingochute.scheduling.fleet.Queue;
import org.flamingochute.scheduling.fleet.WaveRequest;
import org.flamingochute.scheduling.job.JobPhase;
import org.flamingochute.scheduling.job.StoredJob;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.scheduling.worker.WorkerStatus;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against UNASKED: a task of a cancelled job starts or runs on, because the records of the
 * intake topic arrive in an unusual order, repeatedly, or as pages. A leader applies them here.
 */
class CancelledJobIntakeTest {
  private static final JobId JOB = new JobId("0123456789abcdef");
  private static final JobId OTHER_JOB = new JobId("fedcba9876543210");
  private static final PoolId POOL = new PoolId("p");
  private static final WorkerKey WORKER = new WorkerKey(new InstanceId("w"), 1);
  private static final int TASKS = 3;

  private final FleetDeclaration declaration =
      FleetDeclaration.builder()
          .version(1)
          .queue(
              new Queue(
                  new QueueId("q"),
                  "host",
                  "/q/",
                  3_000,
                  true,
                  QueuePolicy.newBuilder().setService(POOL.value()).setSlackFactor(1).build()))
          .pool(new Pool(POOL, true, false))
          .build();

  private final FleetState state = new FleetState();
  private final Scheduler scheduler =
      new Scheduler(
          SchedulerSettings.builder().build(), declaration, PredecessorState.OVER, 1_000, 1_000);
  private long now = 1_000;

  /** Passes changes to the scheduler, as the leadership does. */
  private final class LeaderListener implements FleetState.Listener {
    @Override
    public void onDeclarationChanged(FleetDeclaration newest) {}

    @Override
    public void onWaveRequested(WaveRequest request) {}

    @Override
    public void onWorkerListed(WorkerReport report) {}

    @Override
    public void onWorkerUnlisted(InstanceId worker) {}

    @Override
    public void onJobStored(StoredJob job) {
      scheduler.onJobStored(job, now, now);
    }

    @Override
    public void onJobCancelled(JobId job) {
      scheduler.onJobCancelled(job, now, now);
    }
  }

  @BeforeEach
  void startLeader() {
    state.setListener(Optional.of(new LeaderListener()));
    ResourceVector capacity = new ResourceVector(32_000, 65_536, 0);
    scheduler.onWorkerListed(
        new WorkerReport(WORKER, POOL, "w", new DataCentreId("a"), capacity, List.of(), false),
        now);
    scheduler.onLeaseSent(WORKER, now);
    scheduler.onLeaseRenewed(WORKER, new WorkerStatus(1, 1, List.of(), List.of()), now, now, now);
  }

  private static StoreRecord definition(JobId job, long offset) {
    QueuedJob definition =
        QueuedJob.newBuilder()
            .setQueue("q")
            .setPayload("payload of " + job)
            .addSteps(QueuedStep.newBuilder().setCount(TASKS).setProcessorMillicores(100))
            .build();
    return new StoreRecord(ScheduleKeys.job(job), definition.toByteArray(), offset);
  }

  private static StoreRecord cancellation(JobId job, long offset) {
    byte[] value = "1".getBytes(StandardCharsets.US_ASCII);
    return new StoreRecord(ScheduleKeys.cancellation(job), value, offset);
  }

  private void read(StoreRecord... records) {
    for (StoreRecord record : records) {
      state.intakeListener().onRecord(record);
    }
  }

  /** Makes several decisions; returns the tasks that were started. All starts are confirmed. */
  private List<TaskId> startedTasks() {
    List<TaskId> started = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      now += 100;
      scheduler.onLeaseSent(WORKER, now);
      scheduler.decide(now, now);
      SchedulerBatch batch = scheduler.takeBatch();
      batch.records().forEach(state.jobs()::updateProgress);
      for (SchedulerCommand command : batch.commandsAfterRecording()) {
        if (command instanceof SchedulerCommand.StartTask start && scheduler.beginStart(start)) {
          started.add(start.task());
          scheduler.onStartAnswered(start, StartOutcome.STARTED, now, now);
        }
      }
    }
    return started;
  }

  static Stream<List<StoreRecord>> ordersWithCancellation() {
    StoreRecord job = definition(JOB, 3);
    StoreRecord repeatedJob = definition(JOB, 5);
    StoreRecord cancellation = cancellation(JOB, 4);
    StoreRecord repeatedCancellation = cancellation(JOB, 6);
    return Stream.of(
        List.of(job, cancellation),
        List.of(cancellation, job),
        List.of(job, cancellation, repeatedJob),
        List.of(cancellation, repeatedJob, job),
        List.of(job, repeatedJob, cancellation),
        List.of(cancellation, job, repeatedJob, repeatedCancellation));
  }

  @ParameterizedTest
  @MethodSource("ordersWithCancellation")
  void cancelledJobDoesNotStart(List<StoreRecord> records) {
    read(records.toArray(new StoreRecord[0]));
    assertThat(startedTasks(), is(empty()));
    assertThat(state.jobs().find(JOB).orElseThrow().phase(), is(JobPhase.CANCELLED));
  }

  @ParameterizedTest
  @MethodSource("ordersWithCancellation")
  void cancelledJobDoesNotStartAfterReload(List<StoreRecord> records) {
    state.intakeListener().onSnapshot(records);
    assertThat(startedTasks(), is(empty()));
  }

  /** After the store has dropped records, the pages are read again while the node leads. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void cancellationInPagesStopsTheRuns(boolean definitionFirst) {
    read(definition(JOB, 3), definition(OTHER_JOB, 4));
    assertThat(startedTasks().size(), is(2 * TASKS));
    scheduler.takeImmediateCommands();
    List<StoreRecord> page =
        definitionFirst
            ? List.of(definition(JOB, 3), cancellation(JOB, 5), definition(OTHER_JOB, 4))
            : List.of(cancellation(JOB, 5), definition(OTHER_JOB, 4), definition(JOB, 3));
    state.intakeListener().onSnapshot(page);
    List<JobId> stoppedJobs = new ArrayList<>();
    for (SchedulerCommand command : scheduler.takeImmediateCommands()) {
      if (command instanceof SchedulerCommand.StopTask stop) {
        stoppedJobs.add(stop.task().job());
      }
    }
    assertThat(stoppedJobs, is(List.of(JOB, JOB, JOB)));
    assertThat(startedTasks(), is(empty()));
  }

  /** The cancellation is read after the start was recorded and before it is sent. */
  @Test
  void recordedStartIsNotSentAfterCancellation() {
    read(definition(JOB, 3));
    now += 100;
    scheduler.decide(now, now);
    SchedulerBatch batch = scheduler.takeBatch();
    batch.records().forEach(state.jobs()::updateProgress);
    read(cancellation(JOB, 4));
    int sent = 0;
    for (SchedulerCommand command : batch.commandsAfterRecording()) {
      if (command instanceof SchedulerCommand.StartTask start && scheduler.beginStart(start)) {
        sent++;
      }
    }
    assertThat(sent, is(0));
    assertThat(startedTasks(), is(empty()));
  }

  /** While the leader's view of the cancellations is old, it starts no task. */
  @Test
  void noTaskStartsWhilePlacementIsNotAllowed() {
    read(definition(JOB, 3));
    scheduler.setPlacementAllowed(false);
    assertThat(startedTasks(), is(empty()));
    scheduler.setPlacementAllowed(true);
    assertThat(startedTasks().size(), is(TASKS));
  }

  /** Values under the keys of jobs that no node has written start nothing. */
  @ParameterizedTest
  @ValueSource(strings = {"{\"spec\":\"s\"}", "\u0001", "a record of another format", "\n"})
  void unreadableDefinitionStartsNothing(String value) {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    read(new StoreRecord(ScheduleKeys.job(JOB), bytes, 3), definition(OTHER_JOB, 4));
    List<JobId> started = startedTasks().stream().map(TaskId::job).distinct().toList();
    assertThat(started, is(List.of(OTHER_JOB)));
  }

  /** Keys that are no keys of jobs and cancellations, with values of jobs. */
  @ParameterizedTest
  @ValueSource(strings = {"job/", "job", "jobs/0123456789abcdef", "progress/0123456789abcdef", ""})
  void definitionUnderAnotherKeyStartsNothing(String key) {
    read(new StoreRecord(key, definition(JOB, 3).value(), 3), definition(OTHER_JOB, 4));
    List<JobId> started = startedTasks().stream().map(TaskId::job).distinct().toList();
    assertThat(started, is(List.of(OTHER_JOB)));
  }
}
