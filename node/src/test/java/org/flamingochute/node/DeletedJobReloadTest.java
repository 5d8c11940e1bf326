package org.flamingochute.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;

import io.activej.eventloop.Eventloop;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.node.store.ScheduleKeys;
import org.flamingochute.node.store.StoreFollower;
import org.flamingochute.node.store.TopicListener;
import org.flamingochute.platform.wire.KeyedValue;
import org.flamingochute.platform.wire.StoreClient;
import org.flamingochute.platform.wire.StoreRecord;
import org.flamingochute.platform.wire.StoreTopic;
import org.flamingochute.scheduling.job.StoredJob;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests which jobs a node knows after it has read a trimmed topic again. */
class DeletedJobReloadTest {
  private static final long TIMEOUT_SECONDS = 60;
  private static final long TIMEOUT_MILLISECONDS = 10_000;
  private static final long POLL_INTERVAL_MILLISECONDS = 10;
  private static final long LONG_POLL_MILLISECONDS = 100;
  private static final long LONG_PAUSE_MILLISECONDS = TimeUnit.MINUTES.toMillis(5);
  private static final JobId ENDED = new JobId("00000000000000a1");
  private static final JobId OPEN = new JobId("00000000000000a2");
  private static final QueuedJob DEFINITION = QueuedJob.newBuilder().setQueue("q").build();

  private final PlatformFixture fixture = new PlatformFixture("reload");
  private final Eventloop loop = fixture.loop();
  private final FleetState state = new FleetState();
  private final CountDownLatch loads = new CountDownLatch(2);
  private final StoreClient store = fixture.store();

  /** Counts the snapshots that the state has applied. */
  private final class CountingListener implements TopicListener {
    private final TopicListener intake = state.intakeListener();

    @Override
    public void onLoadStarted() {
      intake.onLoadStarted();
    }

    @Override
    public void onSnapshot(List<StoreRecord> records) {
      intake.onSnapshot(records);
      loads.countDown();
    }

    @Override
    public void onRecord(StoreRecord record) {
      intake.onRecord(record);
    }
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  private void append(KeyedValue... records) throws Exception {
    store
        .append(
            StoreTopic.INTAKE,
            List.of(records),
            Optional.empty(),
            OptionalLong.empty(),
            TIMEOUT_MILLISECONDS)
        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private static KeyedValue definitionOf(JobId job) {
    return new KeyedValue(ScheduleKeys.job(job), DEFINITION.toByteArray());
  }

  private void trimIntake() throws Exception {
    String path = "/log-trim?topic=keyed.intake&part=0&before=1000";
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + fixture.platform().address() + path))
            .POST(HttpRequest.BodyPublishers.noBody())
            .build();
    HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding());
  }

  private List<JobId> knownJobs() throws Exception {
    CompletableFuture<List<JobId>> known = new CompletableFuture<>();
    loop.execute(
        () -> {
          List<JobId> ids = new ArrayList<>();
          for (StoredJob job : state.jobs().jobs()) {
            ids.add(job.id());
          }
          known.complete(ids);
        });
    return known.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /**
   * Guards against TWICE: a node that was away from a job's end until the deletion of the job, and
   * whose topics were trimmed meanwhile, keeps the job as open and runs it again when it leads.
   */
  @Test
  void deletedJobIsForgottenAfterTheTopicWasTrimmed() throws Exception {
    StoreFollower follower =
        new StoreFollower(
            loop,
            new NodeClock(),
            store,
            StoreTopic.INTAKE,
            LONG_POLL_MILLISECONDS,
            LONG_PAUSE_MILLISECONDS,
            new CountingListener());
    loop.execute(follower::start);
    while (loads.getCount() > 1) {
      Thread.sleep(POLL_INTERVAL_MILLISECONDS);
    }
    // After these records the follower pauses, as if its node were away.
    append(definitionOf(ENDED), definitionOf(OPEN));
    while (knownJobs().size() < 2) {
      Thread.sleep(POLL_INTERVAL_MILLISECONDS);
    }
    append(KeyedValue.tombstone(ScheduleKeys.job(ENDED)));
    trimIntake();
    loop.execute(() -> follower.setPause(0));
    assertThat(loads.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
    assertThat(knownJobs(), containsInAnyOrder(OPEN));
  }

  /**
   * Guards against LOST: a job that this node stores while it reads the topic again is missing in
   * the pages that were read before, and must not be taken for a deleted one.
   */
  @Test
  void jobStoredDuringTheLoadIsKept() throws Exception {
    TopicListener intake = state.intakeListener();
    state.applyJob(ENDED, DEFINITION);
    intake.onLoadStarted();
    state.applyJob(OPEN, DEFINITION);
    intake.onSnapshot(List.of());
    assertThat(knownJobs(), containsInAnyOrder(OPEN));
  }

  /**
   * Guards against UNASKED and against memory without a bound: the deletion of a cancellation may
   * be missed, and a cancellation that is stored during the load is missing in its pages.
   */
  @Test
  void onlyCancellationsDeletedBeforeTheLoadAreForgotten() throws Exception {
    TopicListener intake = state.intakeListener();
    state.applyCancellation(ENDED);
    intake.onLoadStarted();
    state.applyCancellation(OPEN);
    intake.onSnapshot(List.of());
    assertThat(knownJobs(), containsInAnyOrder(OPEN));
    assertThat(state.undefinedCancellations().jobs(), is(Set.of(OPEN)));
  }
}
