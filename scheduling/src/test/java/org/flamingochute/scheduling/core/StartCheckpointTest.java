package org.flamingochute.scheduling.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.in;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.QueueId;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.Pool;
import org.flamingochute.scheduling.fleet.Queue;
import org.flamingochute.scheduling.job.JobTable;
import org.flamingochute.scheduling.worker.EndReason;
import org.flamingochute.scheduling.worker.FinishedTask;
import org.flamingochute.scheduling.worker.RunningTask;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.scheduling.worker.WorkerStatus;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against UNASKED: a start carries a checkpoint that is not the task's. */
class StartCheckpointTest {
  private static final JobId JOB = new JobId("0123456789abcdef");
  private static final String QUEUE = "q";
  private static final PoolId POOL = new PoolId("p");
  private static final long CLOCK = 1;

  private final FleetDeclaration declaration =
      FleetDeclaration.builder()
          .version(1)
          .queue(
              new Queue(
                  new QueueId(QUEUE),
                  "host",
                  "/q/",
                  3_000,
                  true,
                  QueuePolicy.newBuilder()
                      .setService(POOL.value())
                      .setMaximumAttempts(9)
                      .setSlackFactor(1)
                      .build()))
          .pool(new Pool(POOL, true, false))
          .build();

  private final SchedulerSettings settings =
      SchedulerSettings.builder().maximumLeaseMilliseconds(10_000).build();
  private final JobTable stored = new JobTable();
  private final Map<String, Long> startTimes = new HashMap<>();
  private Scheduler scheduler =
      new Scheduler(settings, declaration, PredecessorState.OVER, 1_000, 1_000);
  private long now = 1_000;

  private WorkerKey key(String worker) {
    return new WorkerKey(new InstanceId(worker), startTimes.get(worker));
  }

  private WorkerReport report(String worker) {
    ResourceVector capacity = new ResourceVector(4_000, 4_096, 0);
    return new WorkerReport(
        key(worker), POOL, worker, new DataCentreId("a"), capacity, List.of(), false);
  }

  /** Lists a worker, or a new incarnation of it, and reads its empty status. */
  private void startWorker(String worker) {
    startTimes.put(worker, ++now);
    scheduler.onWorkerListed(report(worker), now);
    applyStatus(worker, List.of(), List.of());
  }

  private void applyStatus(String worker, List<RunningTask> running, List<FinishedTask> finished) {
    now += 10;
    WorkerStatus status = new WorkerStatus(startTimes.get(worker), CLOCK, running, finished);
    scheduler.onLeaseSent(key(worker), now);
    scheduler.onLeaseRenewed(key(worker), status, now, now, now);
  }

  private void submit(QueuedStep... steps) {
    QueuedJob job = QueuedJob.newBuilder().setQueue(QUEUE).addAllSteps(List.of(steps)).build();
    scheduler.onJobStored(stored.define(JOB, job), now, now);
  }

  /** Decides, records and executes; returns the starts by task. All are confirmed. */
  private Map<String, SchedulerCommand.StartTask> startsAfter(long milliseconds) {
    now += milliseconds;
    scheduler.decide(now, now);
    SchedulerBatch batch = scheduler.takeBatch();
    batch.records().forEach(stored::updateProgress);
    Map<String, SchedulerCommand.StartTask> starts = new TreeMap<>();
    for (SchedulerCommand command : batch.commandsAfterRecording()) {
      if (command instanceof SchedulerCommand.StartTask start && scheduler.beginStart(start)) {
        scheduler.onStartAnswered(start, StartOutcome.STARTED, now, now);
        starts.put(start.task().step() + "." + start.task().index(), start);
      }
    }
    return starts;
  }

  private void replaceLeader() {
    scheduler = new Scheduler(settings, declaration, PredecessorState.OVER, now, now);
    startTimes.keySet().forEach(worker -> scheduler.onWorkerListed(report(worker), now));
    scheduler.onJobStored(stored.find(JOB).orElseThrow(), now, now);
  }

  private static QueuedStep step(int count, boolean gang) {
    return QueuedStep.newBuilder()
        .setCount(count)
        .setProcessorMillicores(1_000)
        .setMemoryMebibytes(100)
        .setEstimateMilliseconds(60_000)
        .setCheckpoints(true)
        .setGang(gang)
        .setMaximumPerWorker(1)
        .build();
  }

  private static RunningTask running(SchedulerCommand.StartTask start, String checkpoint) {
    return new RunningTask(start.task(), start.attempt(), checkpoint, 10, 0);
  }

  private static FinishedTask ended(
      long number, SchedulerCommand.StartTask start, EndReason reason, String checkpoint) {
    return new FinishedTask(number, start.task(), start.attempt(), reason, checkpoint);
  }

  private static String workerOf(SchedulerCommand.StartTask start) {
    return start.worker().id().value();
  }

  /** Starts a gang of two on two workers. */
  private List<SchedulerCommand.StartTask> startGang() {
    startWorker("w1");
    startWorker("w2");
    submit(step(2, true));
    Map<String, SchedulerCommand.StartTask> starts = startsAfter(100);
    return List.of(starts.get("0.0"), starts.get("0.1"));
  }

  private void assertGangResumesFrom(String... valid) {
    Map<String, SchedulerCommand.StartTask> restarted = startsAfter(1_000);
    assertThat(restarted.keySet(), is(Set.of("0.0", "0.1")));
    String checkpoint = restarted.get("0.0").checkpoint();
    assertThat(restarted.get("0.1").checkpoint(), is(checkpoint));
    assertThat(checkpoint, is(in(valid)));
  }

  /** All members of a gang must carry the same checkpoint. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void gangResumesFromOneCheckpointAfterItsWorkersRestart(boolean newLeader) {
    List<SchedulerCommand.StartTask> gang = startGang();
    applyStatus(workerOf(gang.get(0)), List.of(running(gang.get(0), "first")), List.of());
    applyStatus(workerOf(gang.get(1)), List.of(running(gang.get(1), "second")), List.of());
    startWorker("w1");
    if (newLeader) {
      startsAfter(10);
      replaceLeader();
    }
    startWorker("w2");
    if (newLeader) {
      applyStatus("w1", List.of(), List.of());
    }
    assertGangResumesFrom("first", "second");
  }

  @Test
  void memberThatHasSavedNothingResumesFromTheCheckpointOfTheGang() {
    List<SchedulerCommand.StartTask> gang = startGang();
    applyStatus(workerOf(gang.get(0)), List.of(running(gang.get(0), "first")), List.of());
    startWorker("w1");
    startWorker("w2");
    assertGangResumesFrom("first");
  }

  /** A member lists an older checkpoint after another member has ended with a newer one. */
  @Test
  void olderCheckpointOfRunningMemberReplacesNoNewerOne() {
    List<SchedulerCommand.StartTask> gang = startGang();
    String other = workerOf(gang.get(1));
    applyStatus(other, List.of(running(gang.get(1), "older")), List.of());
    applyStatus(
        workerOf(gang.get(0)),
        List.of(),
        List.of(ended(1, gang.get(0), EndReason.GANG_BROKEN, "newer")));
    applyStatus(other, List.of(running(gang.get(1), "older")), List.of());
    startWorker(other);
    assertGangResumesFrom("newer");
  }

  @Test
  void endOfAnEarlierAttemptChangesNothing() {
    startWorker("w1");
    submit(step(1, false));
    SchedulerCommand.StartTask first = startsAfter(100).get("0.0");
    applyStatus(
        "w1", List.of(), List.of(ended(1, first, EndReason.STOPPED, "checkpoint of attempt 1")));
    SchedulerCommand.StartTask second = startsAfter(100).get("0.0");
    assertThat(second.checkpoint(), is("checkpoint of attempt 1"));
    applyStatus(
        "w1",
        List.of(running(second, "checkpoint of attempt 2")),
        List.of(ended(2, first, EndReason.DONE, "late")));
    startWorker("w1");
    assertThat(startsAfter(100).get("0.0").checkpoint(), is("checkpoint of attempt 2"));
  }

  /** Steps and indices are restored by their numbers, also beside tasks that were never started. */
  @Test
  void successorStartsEachTaskFromItsOwnCheckpoint() {
    List<String> names = List.of("w1", "w2", "w3", "w4");
    names.forEach(this::startWorker);
    submit(step(2, false), step(2, false));
    Map<String, SchedulerCommand.StartTask> starts = startsAfter(100);
    Map<String, String> expected = new TreeMap<>();
    Map<String, List<FinishedTask>> ends = new HashMap<>();
    starts.forEach(
        (task, start) -> {
          expected.put(task, "saved by " + task);
          List<FinishedTask> listed =
              ends.computeIfAbsent(workerOf(start), worker -> new ArrayList<>());
          listed.add(ended(listed.size() + 1, start, EndReason.STOPPED, "saved by " + task));
        });
    ends.forEach((worker, listed) -> applyStatus(worker, List.of(), listed));
    stored.updateProgress(JOB, scheduler.takeBatch().records().get(JOB));
    replaceLeader();
    names.forEach(this::startWorker);
    Map<String, String> restarted = new TreeMap<>();
    startsAfter(100).forEach((task, start) -> restarted.put(task, start.checkpoint()));
    assertThat(restarted, is(expected));
  }

  /** A worker lists runs of tasks and jobs that do not exist, with checkpoints. */
  @Test
  void runsOfUnknownTasksAreStoppedAndGiveNoCheckpoint() {
    startWorker("w1");
    submit(step(1, false));
    SchedulerCommand.StartTask start = startsAfter(100).get("0.0");
    List<RunningTask> listed = new ArrayList<>();
    listed.add(running(start, ""));
    List<TaskId> unknown =
        List.of(
            new TaskId(JOB, 0, 0, 7),
            new TaskId(JOB, 0, 3, 0),
            new TaskId(JOB, 5, 0, 0),
            new TaskId(new JobId("fedcba9876543210"), 0, 0, 0));
    unknown.forEach(task -> listed.add(new RunningTask(task, 1, "foreign", 50, 0)));
    applyStatus("w1", listed, List.of());
    List<TaskId> stopped = new ArrayList<>();
    for (SchedulerCommand command : scheduler.takeImmediateCommands()) {
      if (command instanceof SchedulerCommand.StopTask stop) {
        stopped.add(stop.task());
      }
    }
    assertThat(stopped, is(unknown));
    startWorker("w1");
    assertThat(startsAfter(100).get("0.0").checkpoint(), is(""));
  }
}
