package org.flamingochute.node.store;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.activej.eventloop.Eventloop;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what an append reports when its timeout passes while the store does not respond. */
class IntakeWriterTest {
  private static final long AWAIT_TIMEOUT_SECONDS = 60;

  /** Shorter than the timeout of a call to the store, which is 800 ms. */
  private static final long SHORT_TIMEOUT_MILLISECONDS = 200;

  private final EventLoopGroup group = EventLoopGroup.start("intake", 1);
  private final ExchangeClient exchanges =
      new ExchangeClient(group, ExchangeLimits.builder().build(), ExchangeListener.NONE);
  private final Eventloop loop = group.next();
  private PlatformServer platform;
  private IntakeWriter writer;

  @BeforeEach
  void startPlatform() throws Exception {
    platform =
        PlatformServer.start(
            FleetSettings.withShortDurations(List.of(new FleetSettings.PoolSize("p", 1))),
            "127.0.0.1:0");
    StoreClient store =
        new StoreClient(exchanges, NumericAddress.parse(platform.address()).orElseThrow());
    writer = new IntakeWriter(loop, new NodeClock(), store);
  }

  @AfterEach
  void close() {
    exchanges.close();
    group.close();
    platform.close();
  }

  private void setStoreFault(String fault) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + platform.address() + "/fault?store=" + fault))
            .POST(HttpRequest.BodyPublishers.noBody())
            .build();
    HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding());
  }

  private CompletableFuture<IntakeResult> append(String key, long timeoutMilliseconds) {
    return writer.append(new KeyedValue(key, new byte[] {1}), timeoutMilliseconds);
  }

  private static IntakeResult resultOf(CompletableFuture<IntakeResult> result) throws Exception {
    return result.get(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  @Test
  void recordThatTheStoreAcknowledgesIsStored() throws Exception {
    CompletableFuture<IntakeResult> result = new CompletableFuture<>();
    long timeoutMilliseconds = TimeUnit.SECONDS.toMillis(AWAIT_TIMEOUT_SECONDS);
    loop.execute(() -> append("a", timeoutMilliseconds).thenAccept(result::complete));
    assertThat(resultOf(result), is(IntakeResult.STORED));
  }

  /** The second record is added while the first is in a call, so it is never sent. */
  @Test
  void onlyRecordInCallAtItsTimeoutIsUnknown() throws Exception {
    setStoreFault("SILENT");
    CompletableFuture<IntakeResult> sent = new CompletableFuture<>();
    CompletableFuture<IntakeResult> neverSent = new CompletableFuture<>();
    loop.execute(
        () -> {
          append("a", SHORT_TIMEOUT_MILLISECONDS).thenAccept(sent::complete);
          loop.postLast(
              () -> append("b", SHORT_TIMEOUT_MILLISECONDS).thenAccept(neverSent::complete));
        });
    assertThat(resultOf(sent), is(IntakeResult.UNKNOWN));
    assertThat(resultOf(neverSent), is(IntakeResult.NOT_STORED));
  }
}
