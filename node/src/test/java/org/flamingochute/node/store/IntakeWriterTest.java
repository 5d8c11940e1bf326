package org.flamingochute.node.store;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.activej.eventloop.Eventloop;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.flamingochute.node.NodeClock;
import org.flamingochute.node.PlatformFixture;
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

  private final PlatformFixture fixture = new PlatformFixture("intake");
  private final Eventloop loop = fixture.loop();
  private IntakeWriter writer;

  @BeforeEach
  void startPlatform() throws Exception {
    StoreClient store = fixture.store();
    writer = new IntakeWriter(loop, new NodeClock(), store);
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  private void setStoreFault(String fault) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://" + fixture.platform().address() + "/fault?store=" + fault))
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
