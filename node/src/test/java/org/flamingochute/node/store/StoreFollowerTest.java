package org.flamingochute.node.store;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.flamingochute.node.NodeClock;
import org.flamingochute.platform.http.EventLoopGroup;
import org.flamingochute.platform.http.ExchangeClient;
import org.flamingochute.platform.http.ExchangeLimits;
import org.flamingochute.platform.http.ExchangeListener;
import org.flamingochute.platform.http.NumericAddress;
import org.flamingochute.platform.standin.FleetSettings;
import org.flamingochute.platform.standin.PlatformServer;
import org.flamingochute.platform.wire.KeyedValue;
import org.flamingochute.platform.wire.StoreClient;
import org.flamingochute.platform.wire.StoreRecord;
import org.flamingochute.platform.wire.StoreTopic;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Reads a topic of the platform stand-in with a follower. */
class StoreFollowerTest {
  private static final long LONG_POLL_MILLISECONDS = 900;
  private static final long AWAIT_TIMEOUT_SECONDS = 60;
  private static final long TIMEOUT_MILLISECONDS = 10_000;
  private static final int RECORD_BYTES = 1_000;

  private final EventLoopGroup group = EventLoopGroup.start("follower", 1);
  private final ExchangeClient exchanges =
      new ExchangeClient(
          group,
          ExchangeLimits.builder().maximumResponseBytes(16 << 20).build(),
          ExchangeListener.NONE);
  private PlatformServer platform;
  private StoreClient store;
  private volatile boolean listenerFails;

  @BeforeEach
  void startPlatform() throws Exception {
    platform =
        PlatformServer.start(
            FleetSettings.withShortDurations(List.of(new FleetSettings.PoolSize("p", 1))),
            "127.0.0.1:0");
    store = new StoreClient(exchanges, NumericAddress.parse(platform.address()).orElseThrow());
  }

  @AfterEach
  void close() {
    exchanges.close();
    group.close();
    platform.close();
  }

  private void appendRecords(int records) throws Exception {
    List<KeyedValue> values = new ArrayList<>();
    for (int i = 0; i < records; i++) {
      values.add(new KeyedValue("key-" + i, new byte[RECORD_BYTES]));
    }
    store
        .append(
            StoreTopic.INTAKE, values, Optional.empty(), OptionalLong.empty(), TIMEOUT_MILLISECONDS)
        .get(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private void limitBandwidth(long bytesPerSecond) throws Exception {
    String fault = "/fault?store=NONE&bytes_per_second=" + bytesPerSecond;
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + platform.address() + fault))
            .POST(HttpRequest.BodyPublishers.noBody())
            .build();
    HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding());
  }

  /** A follower that has loaded its topic, and the records delivered since then. */
  private final class LoadedFollower {
    private final CountDownLatch loaded = new CountDownLatch(1);
    private final BlockingQueue<StoreRecord> delivered = new LinkedBlockingQueue<>();
    private final StoreFollower follower;

    private LoadedFollower(long pauseMilliseconds) throws Exception {
      follower =
          new StoreFollower(
              group.next(),
              new NodeClock(),
              store,
              StoreTopic.INTAKE,
              LONG_POLL_MILLISECONDS,
              pauseMilliseconds,
              listener());
      group.next().execute(follower::start);
      assertThat(loaded.await(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
    }

    private TopicListener listener() {
      return new TopicListener() {
        @Override
        public void onSnapshot(List<StoreRecord> records) {
          loaded.countDown();
          failIfRequested();
        }

        @Override
        public void onRecord(StoreRecord record) {
          delivered.add(record);
          failIfRequested();
        }
      };
    }

    private void failIfRequested() {
      if (listenerFails) {
        throw new IllegalStateException("a listener that fails for each record");
      }
    }

    private void awaitRecords(int count) throws Exception {
      for (int i = 0; i < count; i++) {
        assertThat(delivered.poll(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS), notNullValue());
      }
    }
  }

  /**
   * On a link of a few Mbit/s, reading the records of an outage takes longer than the read timeout.
   */
  @Test
  void followerBehindSlowLinkCatchesUp() throws Exception {
    LoadedFollower followed = new LoadedFollower(0);
    limitBandwidth(400_000);
    appendRecords(1_500);
    followed.awaitRecords(1_500);
  }

  /**
   * Guards against LOST: one record that causes an unexpected error ends the reading of a topic.
   */
  @Test
  void errorOfListenerDoesNotEndTheReading() throws Exception {
    listenerFails = true;
    LoadedFollower followed = new LoadedFollower(0);
    appendRecords(2);
    followed.awaitRecords(2);
    appendRecords(1);
    followed.awaitRecords(1);
  }

  @Test
  void followerThatIsBehindDoesNotPause() throws Exception {
    LoadedFollower followed = new LoadedFollower(TimeUnit.MINUTES.toMillis(5));
    appendRecords(1_500);
    followed.awaitRecords(1_500);
  }

  @Test
  void refreshDeliversDuringThePauseAndOnlyOnce() throws Exception {
    LoadedFollower followed = new LoadedFollower(TimeUnit.MINUTES.toMillis(5));
    appendRecords(1);
    followed.awaitRecords(1);
    appendRecords(1);
    CompletableFuture<Boolean> complete = new CompletableFuture<>();
    group.next().execute(() -> followed.follower.refresh().thenAccept(complete::complete));
    assertThat(complete.get(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
    followed.awaitRecords(1);
    group.next().execute(() -> followed.follower.setPause(0));
    appendRecords(1);
    followed.awaitRecords(1);
    assertThat(followed.delivered.isEmpty(), is(true));
  }
}
