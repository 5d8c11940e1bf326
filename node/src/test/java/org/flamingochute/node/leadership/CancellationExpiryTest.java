package org.flamingochute.node.leadership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.activej.eventloop.Eventloop;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.node.FleetState;
import org.flamingochute.node.ManualClock;
import org.flamingochute.node.PlatformFixture;
import org.flamingochute.node.store.ScheduleKeys;
import org.flamingochute.node.store.StoreFollower;
import org.flamingochute.node.store.TopicListener;
import org.flamingochute.platform.wire.KeyedValue;
import org.flamingochute.platform.wire.StoreClient;
import org.flamingochute.platform.wire.StorePageOutcome;
import org.flamingochute.platform.wire.StoreRecord;
import org.flamingochute.platform.wire.StoreTopic;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against records without a bound: a cancellation of a job that was never stored is kept for
 * a while, and then deleted unless the job has been stored meanwhile.
 */
class CancellationExpiryTest {
  private static final long TIMEOUT_SECONDS = 60;
  private static final long TIMEOUT_MILLISECONDS = 10_000;
  private static final long LONG_POLL_MILLISECONDS = 100;
  private static final long RETENTION_MILLISECONDS = 120_000;
  private static final JobId JOB = new JobId("00000000000000a1");
  private static final KeyedValue CANCELLATION =
      new KeyedValue(ScheduleKeys.cancellation(JOB), new byte[] {'1'});
  private static final KeyedValue DEFINITION =
      new KeyedValue(
          ScheduleKeys.job(JOB), QueuedJob.newBuilder().setQueue("q").build().toByteArray());

  private final ManualClock clock = new ManualClock();

  private final PlatformFixture fixture = new PlatformFixture("expiry");
  private final Eventloop loop = fixture.loop();
  private final FleetState state = new FleetState(clock, Set.of());
  private final StoreClient store = fixture.store();

  @AfterEach
  void close() {
    fixture.close();
  }

  private void append(KeyedValue record) throws Exception {
    store
        .append(
            StoreTopic.INTAKE,
            List.of(record),
            Optional.empty(),
            OptionalLong.empty(),
            TIMEOUT_MILLISECONDS)
        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private List<String> storedKeys() throws Exception {
    StorePageOutcome page =
        store
            .readNewest(StoreTopic.INTAKE, "", TIMEOUT_MILLISECONDS)
            .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    return ((StorePageOutcome.Page) page).records().stream().map(StoreRecord::key).toList();
  }

  /** Loads the topic; the follower reads no record after that unless it is refreshed. */
  private StoreFollower loadedFollower() throws Exception {
    CountDownLatch loaded = new CountDownLatch(1);
    TopicListener intake = state.intakeListener();
    TopicListener listener =
        new TopicListener() {
          @Override
          public void onSnapshot(List<StoreRecord> records) {
            intake.onSnapshot(records);
            loaded.countDown();
          }

          @Override
          public void onRecord(StoreRecord record) {
            intake.onRecord(record);
          }
        };
    StoreFollower follower =
        new StoreFollower(
            loop, clock, store, StoreTopic.INTAKE, LONG_POLL_MILLISECONDS, 0, listener);
    loop.execute(follower::start);
    assertThat(loaded.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
    loop.execute(follower::stop);
    return follower;
  }

  private <T> T onLoop(Supplier<CompletableFuture<T>> call) throws Exception {
    CompletableFuture<T> result = new CompletableFuture<>();
    loop.execute(() -> call.get().thenAccept(result::complete));
    return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private CancellationExpiry createExpiry() {
    return new CancellationExpiry(
        clock, store, state.undefinedCancellations(), RETENTION_MILLISECONDS);
  }

  @Test
  void cancellationIsDeletedAfterItsRetention() throws Exception {
    append(CANCELLATION);
    StoreFollower follower = loadedFollower();
    CancellationExpiry expiry = createExpiry();
    clock.advance(RETENTION_MILLISECONDS - 1);
    assertThat(onLoop(() -> expiry.deleteExpired(follower)), is(0));
    assertThat(storedKeys(), is(List.of(CANCELLATION.key())));
    clock.advance(RETENTION_MILLISECONDS);
    assertThat(onLoop(() -> expiry.deleteExpired(follower)), is(1));
    assertThat(storedKeys(), is(List.of()));
    onLoop(follower::refresh);
    assertThat(state.undefinedCancellations().count(), is(0));
    assertThat(state.jobs().find(JOB).isPresent(), is(false));
  }

  /** The job was stored after this instance's last read, and is cancelled. */
  @Test
  void cancellationIsKeptIfItsJobHasBeenStored() throws Exception {
    append(CANCELLATION);
    StoreFollower follower = loadedFollower();
    clock.advance(RETENTION_MILLISECONDS);
    append(DEFINITION);
    CancellationExpiry expiry = createExpiry();
    assertThat(onLoop(() -> expiry.deleteExpired(follower)), is(0));
    onLoop(follower::refresh);
    clock.advance(RETENTION_MILLISECONDS);
    assertThat(onLoop(() -> expiry.deleteExpired(follower)), is(0));
    assertThat(storedKeys(), is(List.of(CANCELLATION.key(), DEFINITION.key())));
  }

  /** A repeated cancellation counts from its own time. */
  @Test
  void repeatedCancellationIsKeptForItsOwnRetention() throws Exception {
    append(CANCELLATION);
    StoreFollower follower = loadedFollower();
    clock.advance(RETENTION_MILLISECONDS - 1);
    append(CANCELLATION);
    onLoop(follower::refresh);
    clock.advance(1);
    CancellationExpiry expiry = createExpiry();
    assertThat(onLoop(() -> expiry.deleteExpired(follower)), is(0));
    clock.advance(RETENTION_MILLISECONDS);
    assertThat(onLoop(() -> expiry.deleteExpired(follower)), is(1));
  }
}
