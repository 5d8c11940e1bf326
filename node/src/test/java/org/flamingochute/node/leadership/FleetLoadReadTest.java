package org.flamingochute.node.leadership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.activej.eventloop.Eventloop;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.node.FleetState;
import org.flamingochute.node.LoadShedding;
import org.flamingochute.node.NodeClock;
import org.flamingochute.node.store.ScheduleKeys;
import org.flamingochute.node.store.StoreFollower;
import org.flamingochute.node.store.TopicListener;
import org.flamingochute.platform.http.EventLoopGroup;
import org.flamingochute.platform.http.ExchangeClient;
import org.flamingochute.platform.http.ExchangeLimits;
import org.flamingochute.platform.http.ExchangeListener;
import org.flamingochute.platform.http.NumericAddress;
import org.flamingochute.platform.standin.FleetSettings;
import org.flamingochute.platform.standin.PlatformServer;
import org.flamingochute.platform.wire.StoreClient;
import org.flamingochute.platform.wire.StoreRecord;
import org.flamingochute.platform.wire.StoreTopic;
import org.flamingochute.platform.wire.WorkerClient;
import org.flamingochute.scheduling.core.SchedulerSettings;
import org.flamingochute.schema.scheduling.FleetLoad;
import org.flamingochute.schema.scheduling.LeaderTerm;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against refusals from a load of the pools that is old, or of a leader that has been
 * replaced. The clock is set by the test.
 */
class FleetLoadReadTest {
  private static final long AWAIT_TIMEOUT_SECONDS = 60;
  private static final JobId JOB = new JobId("0123456789abcdef");
  private static final QueuedJob DEFINITION =
      QueuedJob.newBuilder()
          .setQueue("q")
          .setOrganisation("t")
          .setPolicy(QueuePolicy.newBuilder().setService("p").setObjectiveMilliseconds(1_000))
          .addSteps(QueuedStep.newBuilder().setCount(1).setEstimateMilliseconds(100))
          .build();

  private final AtomicLong now = new AtomicLong(1_000_000);
  private final NodeClock clock =
      new NodeClock() {
        @Override
        public long steadyMilliseconds() {
          return now.get();
        }

        @Override
        public long wallClockMilliseconds() {
          return 0;
        }
      };

  private final EventLoopGroup group = EventLoopGroup.start("load", 1);
  private final ExchangeClient exchanges =
      new ExchangeClient(group, ExchangeLimits.builder().build(), ExchangeListener.NONE);
  private final Eventloop loop = group.next();
  private final FleetState state = new FleetState();
  private final LoadShedding shedding = new LoadShedding(clock, state);
  private PlatformServer platform;
  private SchedulerLeadership leadership;

  /** Starts a node's leadership after its follower has read the empty topic once. */
  @BeforeEach
  void start() throws Exception {
    platform =
        PlatformServer.start(
            FleetSettings.withShortDurations(List.of(new FleetSettings.PoolSize("p", 1))),
            "127.0.0.1:0");
    StoreClient store =
        new StoreClient(exchanges, NumericAddress.parse(platform.address()).orElseThrow());
    leadership =
        new SchedulerLeadership(
            new LeadershipDependencies(
                loop,
                clock,
                store,
                new WorkerClient(exchanges),
                Optional.empty(),
                state.jobs(),
                SchedulerSettings.builder().build(),
                "node-0",
                0),
            state,
            1);
    leadership.setLoadShedding(Optional.of(shedding));
    CountDownLatch loaded = new CountDownLatch(1);
    StoreFollower follower =
        new StoreFollower(loop, clock, store, StoreTopic.SCHEDULE, 100, 0, onSnapshot(loaded));
    StoreFollower intake =
        new StoreFollower(loop, clock, store, StoreTopic.INTAKE, 100, 0, onSnapshot(loaded));
    onLoop(
        () -> {
          leadership.start(follower, intake, holding -> {});
          follower.start();
          return true;
        });
    assertThat(loaded.await(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
    onLoop(
        () -> {
          // No further read confirms the topic's end.
          follower.stop();
          useUpRate();
          apply(term(1, false));
          return true;
        });
  }

  private static TopicListener onSnapshot(CountDownLatch loaded) {
    return new TopicListener() {
      @Override
      public void onSnapshot(List<StoreRecord> records) {
        loaded.countDown();
      }

      @Override
      public void onRecord(StoreRecord record) {}
    };
  }

  @AfterEach
  void close() {
    exchanges.close();
    group.close();
    platform.close();
  }

  private <T> T onLoop(Supplier<T> action) throws Exception {
    CompletableFuture<T> result = new CompletableFuture<>();
    loop.execute(
        () -> {
          try {
            result.complete(action.get());
          } catch (RuntimeException e) {
            result.completeExceptionally(e);
          }
        });
    return result.get(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private void useUpRate() {
    String declaration =
        "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"p\"}],"
            + "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"],\"weight\":1}]}";
    state
        .declarationListener()
        .onRecord(
            new StoreRecord(
                ScheduleKeys.DECLARATION, declaration.getBytes(StandardCharsets.UTF_8), 1));
    state.applyJob(new JobId("%016x".formatted(1)), DEFINITION);
  }

  private static StoreRecord load() {
    FleetLoad load = FleetLoad.newBuilder().putWaitMilliseconds("p", 60_000).build();
    return new StoreRecord(ScheduleKeys.FLEET_LOAD, load.toByteArray(), 1);
  }

  private static StoreRecord term(long epoch, boolean released) {
    LeaderTerm term =
        LeaderTerm.newBuilder()
            .setEpoch(epoch)
            .setInstance("node-" + epoch + "/1")
            .setReleased(released)
            .build();
    return new StoreRecord(ScheduleKeys.LEADER_TERM, term.toByteArray(), 2);
  }

  private void apply(StoreRecord... records) {
    for (StoreRecord record : records) {
      leadership.onRecord(record);
    }
  }

  /** Returns whether a job would be refused after the given records. */
  private boolean isRefusedAfter(StoreRecord... records) throws Exception {
    return onLoop(
        () -> {
          apply(records);
          return shedding.refusalOf(JOB, DEFINITION).isPresent();
        });
  }

  @Test
  void loadOfTheLeaderIsUsed() throws Exception {
    assertThat(isRefusedAfter(load(), term(1, false)), is(true));
  }

  /** The successor's claim is read before its first load. */
  @Test
  void loadOfTheReplacedLeaderIsForgotten() throws Exception {
    assertThat(isRefusedAfter(load(), term(2, false)), is(false));
  }

  @Test
  void loadOfTheReleasedTermIsForgotten() throws Exception {
    assertThat(isRefusedAfter(load(), term(1, true)), is(false));
  }

  @ParameterizedTest
  @CsvSource({"not a load of pools", "''"})
  void loadThatCannotBeParsedReplacesTheFormerOne(String value) throws Exception {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    StoreRecord unreadable = new StoreRecord(ScheduleKeys.FLEET_LOAD, bytes, 3);
    assertThat(isRefusedAfter(load(), unreadable), is(false));
  }

  /** A loaded topic contains the newest load, which may be hours old. */
  @Test
  void loadOfSnapshotIsNotUsed() throws Exception {
    boolean refused =
        onLoop(
            () -> {
              leadership.onSnapshot(List.of(term(1, false), load()));
              return shedding.refusalOf(JOB, DEFINITION).isPresent();
            });
    assertThat(refused, is(false));
  }

  /** After an outage or a pause of the process, a load that is read may be as old as that. */
  @ParameterizedTest
  @CsvSource({"1500, true", "1501, false", "60000, false"})
  void loadIsAsOldAsTheReadBeforeIt(long milliseconds, boolean expected) throws Exception {
    now.addAndGet(milliseconds);
    assertThat(isRefusedAfter(load()), is(expected));
  }
}
