package org.flamingochute.node.leadership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.sun.net.httpserver.HttpServer;
import io.activej.eventloop.Eventloop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.node.NodeClock;
import org.flamingochute.node.PlatformFixture;
import org.flamingochute.platform.wire.StoreClient;
import org.flamingochute.platform.wire.StorePageOutcome;
import org.flamingochute.platform.wire.StoreTopic;
import org.flamingochute.platform.wire.WorkerClient;
import org.flamingochute.scheduling.core.PredecessorState;
import org.flamingochute.scheduling.core.Scheduler;
import org.flamingochute.scheduling.core.SchedulerSettings;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.Pool;
import org.flamingochute.scheduling.job.JobTable;
import org.flamingochute.scheduling.job.StoredJob;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.LeaderTerm;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.flamingochute.schema.scheduling.TaskProgress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests what a leader may still do while it releases its term. */
class SchedulerDriverTest {
  private static final long AWAIT_TIMEOUT_SECONDS = 60;
  private static final long TIMEOUT_MILLISECONDS = 10_000;
  private static final int MAXIMUM_POLLS = 500;
  private static final long POLL_INTERVAL_MILLISECONDS = 20;
  private static final SchedulerSettings SETTINGS = SchedulerSettings.builder().build();
  private static final PoolId POOL = new PoolId("p");

  /** No call to this worker can be sent, so each attempt throws an exception. */
  private static final WorkerReport UNCALLABLE = workerAt("uncallable", "nowhere");

  private final PlatformFixture fixture = new PlatformFixture("driver");
  private final Eventloop loop = fixture.loop();
  private final NodeClock clock = new NodeClock();
  private final StoreClient store = fixture.store();

  @AfterEach
  void close() {
    fixture.close();
  }

  private Scheduler createScheduler() {
    return new Scheduler(
        SETTINGS,
        FleetDeclaration.builder().version(1).pool(new Pool(POOL, true, false)).build(),
        PredecessorState.OVER,
        0,
        clock.steadyMilliseconds());
  }

  private SchedulerDriver createDriver(Scheduler scheduler) {
    return createDriver(scheduler, 0);
  }

  private SchedulerDriver createDriver(Scheduler scheduler, long jobsAgeMilliseconds) {
    LeadershipDependencies dependencies =
        new LeadershipDependencies(
            loop,
            clock,
            store,
            new WorkerClient(fixture.exchanges()),
            Optional.empty(),
            new JobTable(),
            SETTINGS,
            "node-0",
            0);
    LeaderTerm term = LeaderTerm.newBuilder().setEpoch(1).setInstance("node-0/1").build();
    return new SchedulerDriver(
        dependencies, term, clock.read(), scheduler, () -> jobsAgeMilliseconds, () -> {});
  }

  /**
   * Guards against TWICE: the successor of a released term waits only for leases that were granted
   * before the release, which may be stored although its response is missing.
   */
  @Test
  void leaseIsNotRenewedOnceTheReleaseMayBeStored() throws Exception {
    CompletableFuture<Boolean> renewable = new CompletableFuture<>();
    loop.execute(
        () -> {
          SchedulerDriver driver = createDriver(createScheduler());
          driver.release();
          renewable.complete(driver.canRenewLeases());
        });
    assertThat(renewable.get(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS), is(false));
  }

  private static WorkerReport workerAt(String id, String address) {
    return new WorkerReport(
        new WorkerKey(new InstanceId(id), 1),
        POOL,
        address,
        new DataCentreId("a"),
        ResourceVector.ZERO,
        List.of(),
        false);
  }

  /** Returns whether the term is renewed within some time. */
  private boolean isTermRenewed() throws Exception {
    for (int i = 0; i < MAXIMUM_POLLS; i++) {
      StorePageOutcome page =
          store
              .readNewest(StoreTopic.SCHEDULE, "", TIMEOUT_MILLISECONDS)
              .get(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      if (page instanceof StorePageOutcome.Page arrived && !arrived.records().isEmpty()) {
        return true;
      }
      Thread.sleep(POLL_INTERVAL_MILLISECONDS);
    }
    return false;
  }

  /** Guards against LOST: after an exception within a decision the leader makes no more of them. */
  @Test
  void decisionsContinueAfterAnException() throws Exception {
    loop.execute(
        () -> {
          Scheduler scheduler = createScheduler();
          scheduler.onWorkerListed(UNCALLABLE, clock.steadyMilliseconds());
          createDriver(scheduler).start();
        });
    assertThat(isTermRenewed(), is(true));
  }

  private static TaskProgress runOn(WorkerReport worker, int index) {
    return TaskProgress.newBuilder()
        .setIndex(index)
        .setPhase(TaskProgress.Phase.ASSIGNED)
        .setAttempt(1)
        .setWorker(worker.key().id().value())
        .setWorkerBornMilliseconds(worker.key().startedMilliseconds())
        .build();
  }

  /** Returns a cancelled job, one of whose tasks is assigned to each worker. */
  private static StoredJob cancelledJobOn(List<WorkerReport> workers) {
    QueuedStep step = QueuedStep.newBuilder().setCount(workers.size()).build();
    JobProgress.Builder progress =
        JobProgress.newBuilder().setPhase(JobProgress.Phase.CANCELLED).setEndedMilliseconds(1);
    for (int i = 0; i < workers.size(); i++) {
      progress.addTasks(runOn(workers.get(i), i));
    }
    JobTable table = new JobTable();
    JobId id = new JobId("00000000000000aa");
    QueuePolicy policy = QueuePolicy.newBuilder().setService(POOL.value()).build();
    table.define(id, QueuedJob.newBuilder().setQueue("q").setPolicy(policy).addSteps(step).build());
    return table.updateProgress(id, progress.build());
  }

  /**
   * Guards against LOST and UNASKED: an exception in one command drops those after it, here the
   * stop of a cancelled task.
   */
  @Test
  void commandAfterOneThatThrowsIsSent() throws Exception {
    BlockingQueue<String> paths = new LinkedBlockingQueue<>();
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    server.createContext(
        "/run-stop",
        exchange -> {
          paths.add(exchange.getRequestURI().getPath());
          exchange.close();
        });
    server.start();
    WorkerReport callable = workerAt("callable", "127.0.0.1:" + server.getAddress().getPort());
    List<WorkerReport> workers = List.of(UNCALLABLE, callable);
    loop.execute(
        () -> {
          Scheduler scheduler = createScheduler();
          long now = clock.steadyMilliseconds();
          workers.forEach(worker -> scheduler.onWorkerListed(worker, now));
          scheduler.onJobStored(cancelledJobOn(workers), now, now);
          createDriver(scheduler).start();
        });
    String stopped = paths.poll(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
    server.stop(0);
    assertThat(stopped, is("/run-stop"));
  }

  /**
   * Guards against UNASKED: a leader whose reads of the cancellations fail starts tasks of a job
   * that was cancelled more than 3 s before.
   */
  @ParameterizedTest
  @CsvSource({"0, true", "2499, true", "2500, false", "9223372036854775807, false"})
  void tasksAreStartedOnlyIfCancellationsWereReadLately(long ageMilliseconds, boolean allowed)
      throws Exception {
    CompletableFuture<Boolean> recent = new CompletableFuture<>();
    loop.execute(
        () ->
            recent.complete(
                createDriver(createScheduler(), ageMilliseconds).areCancellationsRecent()));
    assertThat(recent.get(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS), is(allowed));
  }
}
