package org.flamingochute.scheduling.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.Pool;
import org.flamingochute.scheduling.fleet.Team;
import org.flamingochute.scheduling.job.JobTable;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.scheduling.worker.WorkerStatus;
import org.flamingochute.schema.scheduling.FleetLoad;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a predicted wait that makes nodes refuse jobs that could be completed, and against
 * one that is written so often, or so rarely, that it costs appends or is too old to be used.
 */
class PoolWaitsTest {
  private static final PoolId POOL = new PoolId("p");
  private static final int CAPACITY = 4_000;
  private static final long ESTIMATE = 2_000;
  private static final SchedulingFeatures LOAD_SHEDDING =
      SchedulingFeatures.builder().loadShedding(true).build();

  private final FleetDeclaration declaration =
      FleetDeclaration.builder()
          .version(1)
          .pool(new Pool(POOL, true, false))
          .team(new Team(new TeamId("capped"), Set.of(), 1, new ResourceVector(1_000, 0, 0)))
          .build();

  private Scheduler scheduler = createScheduler(LOAD_SHEDDING);
  private long now = 1_000;
  private int jobCount;

  private Scheduler createScheduler(SchedulingFeatures features) {
    SchedulerSettings settings = SchedulerSettings.builder().features(features).build();
    return new Scheduler(settings, declaration, PredecessorState.OVER, 1_000, 1_000);
  }

  private static WorkerKey key(int number) {
    return new WorkerKey(new InstanceId("w" + number), 1);
  }

  private void list(int number, boolean draining) {
    list(number, "a", draining);
  }

  private void list(int number, String dataCentre, boolean draining) {
    scheduler.onWorkerListed(
        new WorkerReport(
            key(number),
            POOL,
            "w" + number,
            new DataCentreId(dataCentre),
            new ResourceVector(CAPACITY, 65_536, 0),
            List.of(),
            draining),
        now);
  }

  private void reach(int number) {
    scheduler.onLeaseSent(key(number), now);
    WorkerStatus status = new WorkerStatus(1, 1, List.of(), List.of());
    scheduler.onLeaseRenewed(key(number), status, now, now, now);
  }

  private void startWorkers(int count) {
    for (int i = 0; i < count; i++) {
      list(i, false);
      reach(i);
    }
  }

  private void submit(String team, QueuedStep.Builder step) {
    QueuedJob job =
        QueuedJob.newBuilder()
            .setQueue("q")
            .setOrganisation(team)
            .setPolicy(QueuePolicy.newBuilder().setService(POOL.value()).setMaximumAttempts(3))
            .addSteps(step)
            .build();
    JobId id = new JobId("%016x".formatted(++jobCount));
    scheduler.onJobStored(new JobTable().define(id, job), now, now);
  }

  private static QueuedStep.Builder tasks(int count) {
    return QueuedStep.newBuilder()
        .setCount(count)
        .setProcessorMillicores(1_000)
        .setMemoryMebibytes(1)
        .setEstimateMilliseconds(ESTIMATE);
  }

  /** Returns the load to write after the given time, as the waits by pool. */
  private Optional<Map<String, Long>> writtenAfter(long milliseconds) {
    now += milliseconds;
    scheduler.decide(now, now);
    scheduler.takeBatch();
    return scheduler.takeFleetLoad().map(FleetLoad::getWaitMillisecondsMap);
  }

  private void sendStarts() {
    scheduler.decide(now, now);
    for (SchedulerCommand command : scheduler.takeBatch().commandsAfterRecording()) {
      if (command instanceof SchedulerCommand.StartTask start) {
        scheduler.beginStart(start);
      }
    }
  }

  /** Two workers have 8 cores; every task takes one of them for 2 s. */
  @ParameterizedTest(name = "{0} tasks: {1} ms")
  @CsvSource({"0, 0", "7, 0", "8, 0", "16, 4000", "80, 20000"})
  void waitIsTheRemainingWorkDividedByTheCapacity(int taskCount, long expected) {
    startWorkers(2);
    if (taskCount > 0) {
      submit("", tasks(taskCount));
    }
    long wait = writtenAfter(300).orElse(Map.of()).getOrDefault(POOL.value(), 0L);
    assertThat(wait, is(expected));
  }

  /** Tasks that run in an evacuated data centre end there, and its capacity is not used again. */
  @ParameterizedTest(name = "while {0} tasks run: {1} ms")
  @CsvSource({"0, 4000", "8, 5700"})
  void workersOfAnEvacuatedDataCentreAreNoCapacity(int running, long expected) {
    list(0, "a", false);
    list(1, "b", false);
    reach(0);
    reach(1);
    if (running > 0) {
      submit("", tasks(running));
      sendStarts();
    }
    scheduler.onEvacuationsChanged(Set.of(new DataCentreId("a")));
    submit("", tasks(8));
    assertThat(writtenAfter(300).orElseThrow(), is(Map.of(POOL.value(), expected)));
  }

  @Test
  void elapsedTimeOfRunningTasksIsNoRemainingWork() {
    startWorkers(1);
    submit("", tasks(8));
    assertThat(writtenAfter(300), is(Optional.of(Map.of("p", 4_000L))));
    assertThat(writtenAfter(1_000), is(Optional.of(Map.of("p", 3_000L))));
  }

  /** Long-running tasks do not end, so their capacity is not available to others. */
  @Test
  void longRunningTasksReduceTheCapacity() {
    startWorkers(2);
    submit("", tasks(4).setLongRunning(true));
    submit("", tasks(16));
    assertThat(writtenAfter(300), is(Optional.of(Map.of("p", 8_000L))));
  }

  @Test
  void waitOfPoolWithoutCapacityIsUnknown() {
    submit("", tasks(100));
    list(0, true);
    reach(0);
    assertThat(writtenAfter(300), is(Optional.empty()));
  }

  /** Guards against jobs that are accepted for capacity on which no task may start. */
  @Test
  void evacuatedWorkersAreNoCapacity() {
    startWorkers(2);
    scheduler.onWorkerListed(
        new WorkerReport(
            key(2),
            POOL,
            "w2",
            new DataCentreId("lost"),
            new ResourceVector(CAPACITY, 65_536, 0),
            List.of(),
            false),
        now);
    reach(2);
    scheduler.onEvacuationsChanged(Set.of(new DataCentreId("lost")));
    submit("", tasks(16));
    assertThat(writtenAfter(300), is(Optional.of(Map.of("p", 4_000L))));
  }

  /** Tasks that their team's cap holds back leave the capacity to others. */
  @Test
  void tasksBeyondTheTeamCapDoNotWaitForCapacity() {
    startWorkers(1);
    submit("capped", tasks(100));
    assertThat(writtenAfter(300), is(Optional.empty()));
  }

  /** Fillers use what others leave, so they do not wait for processor capacity. */
  @Test
  void fillersDoNotWaitForCapacity() {
    startWorkers(1);
    submit("", tasks(100).setFiller(true).setMemoryMebibytes(65_536));
    assertThat(writtenAfter(300), is(Optional.empty()));
  }

  /** Callers may submit any number, and one job must not spoil the prediction by an overflow. */
  @ParameterizedTest
  @CsvSource({"9223372036854775807", "-9223372036854775808"})
  void extremeEstimateIsNoNegativeWait(long estimate) {
    startWorkers(1);
    submit("", tasks(100).setEstimateMilliseconds(estimate));
    boolean positive =
        writtenAfter(300).orElse(Map.of()).values().stream().allMatch(wait -> wait > 0);
    assertThat(positive, is(true));
  }

  /** A successor has reached the first of four workers, and knows the jobs. */
  @Test
  void successorCountsWorkersThatItHasNotReached() {
    for (int i = 0; i < 4; i++) {
      list(i, false);
    }
    reach(0);
    submit("", tasks(16));
    assertThat(writtenAfter(300), is(Optional.of(Map.of("p", 2_000L))));
  }

  /** The leader decides every 2 to 50 ms, and nodes use a load for 1.5 s. */
  @Test
  void unchangedWaitIsWrittenEvery600Milliseconds() {
    startWorkers(1);
    submit("", tasks(8).setEstimateMilliseconds(1_000_000));
    int written = 0;
    for (int i = 0; i < 600; i++) {
      written += writtenAfter(10).isPresent() ? 1 : 0;
    }
    assertThat(written, is(10));
  }

  @Test
  void endOfTheWaitIsWrittenOnce() {
    startWorkers(1);
    submit("", tasks(8));
    assertThat(writtenAfter(300).isPresent(), is(true));
    scheduler.onJobCancelled(new JobId("%016x".formatted(1)), now, now);
    assertThat(writtenAfter(300), is(Optional.of(Map.of())));
    assertThat(writtenAfter(3_000), is(Optional.empty()));
  }

  /** A change that no append took along is replaced, so that no old load is written later. */
  @Test
  void loadThatWasNotWrittenIsReplaced() {
    startWorkers(1);
    submit("", tasks(8));
    now += 300;
    scheduler.decide(now, now);
    scheduler.onJobCancelled(new JobId("%016x".formatted(1)), now, now);
    assertThat(writtenAfter(300), is(Optional.empty()));
  }

  /** The driver appends a batch only if it has records, so a load alone causes no append. */
  @Test
  void loadIsNoRecordOfTheBatch() {
    startWorkers(1);
    submit("", tasks(8));
    now += 300;
    scheduler.decide(now, now);
    scheduler.takeBatch();
    now += 300;
    scheduler.decide(now, now);
    assertThat(scheduler.takeBatch().hasRecords(), is(false));
    assertThat(scheduler.takeFleetLoad().isPresent(), is(true));
  }

  @Test
  void nothingIsWrittenWithTheSwitchOff() {
    scheduler = createScheduler(SchedulingFeatures.NONE);
    startWorkers(1);
    submit("", tasks(100));
    assertThat(writtenAfter(300), is(Optional.empty()));
    assertThat(writtenAfter(3_000), is(Optional.empty()));
  }
}
