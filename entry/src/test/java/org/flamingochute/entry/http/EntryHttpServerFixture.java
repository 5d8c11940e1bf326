package org.flamingochute.entry.http;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.entry.FakeEntryNode;
import org.flamingochute.platform.http.EventLoopGroup;
import org.flamingochute.schema.LimitSection;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** An HTTP server with small limits in front of a fake node, and an HTTP client. */
abstract class EntryHttpServerFixture {
  static final int BODY_LIMIT = 1024;
  static final int CONNECTION_LIMIT = 8;
  static final String NON_ASCII_OCTETS =
      new String(new byte[] {(byte) 0xc3, (byte) 0x81}, StandardCharsets.ISO_8859_1);

  final EventLoopGroup eventLoops = EventLoopGroup.start("http", 2);
  final FakeEntryNode node = new FakeEntryNode();
  final NodeReference nodeReference = new NodeReference();
  final MetricRegistry registry = new MetricRegistry();
  final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  EntryHttpServer httpServer;
  InetSocketAddress address;

  @BeforeEach
  void listen() throws IOException {
    nodeReference.set(node);
    httpServer =
        EntryHttpServer.builder()
            .eventLoops(eventLoops)
            .address(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .limits(
                LimitSection.newBuilder()
                    .setMaximumHeaderBytes(2048)
                    .setMaximumBodyBytes(BODY_LIMIT)
                    .setMaximumConnections(CONNECTION_LIMIT)
                    .build())
            .node(nodeReference)
            .registry(registry)
            .build();
    address = httpServer.listen();
  }

  @AfterEach
  void close() {
    client.close();
    httpServer.close();
    eventLoops.close();
  }

  HttpResponse<String> send(String method, String path, String body, String... headers)
      throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + path))
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body));
    for (int i = 0; i < headers.length; i += 2) {
      request.header(headers[i], headers[i + 1]);
    }
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  static String outcome(HttpResponse<?> response) {
    return response.headers().firstValue("Flamingochute-Outcome").orElse("");
  }

  String sendRaw(String text) throws IOException {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setSoTimeout(3000);
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      StringBuilder response = new StringBuilder();
      while (response.indexOf("\r\n\r\n") < 0) {
        int value = socket.getInputStream().read();
        if (value < 0) {
          break;
        }
        response.append((char) value);
      }
      return response.toString();
    }
  }

  /**
   * Waits until the event loops have finished the handling of closed connections.
   *
   * <p>A loop runs the tasks of other threads before those that it posted itself, and may run
   * several of the former in one pass. So each round waits for a task posted on the loop itself.
   */
  void waitForEventLoops() {
    for (int i = 0; i < 10; i++) {
      eventLoops.loops().forEach(loop -> runPostedTask(loop).join());
    }
  }

  private static CompletableFuture<Void> runPostedTask(Eventloop loop) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.execute(() -> loop.postLast(() -> done.complete(null)));
    return done;
  }
}
