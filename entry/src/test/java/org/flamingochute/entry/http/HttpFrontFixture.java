package org.flamingochute.entry.http;

import com.codahale.metrics.MetricRegistry;
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

/** An HTTP front with small limits before a fake node, and a client of it. */
abstract class HttpFrontFixture {
  static final int BODY_LIMIT = 1024;
  static final int CONNECTION_LIMIT = 8;
  static final String OCTETS =
      new String(new byte[] {(byte) 0xc3, (byte) 0x81}, StandardCharsets.ISO_8859_1);

  final EventLoopGroup loops = EventLoopGroup.start("front", 2);
  final FakeEntryNode node = new FakeEntryNode();
  final NodeReference reference = new NodeReference();
  final MetricRegistry registry = new MetricRegistry();
  final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  HttpFront front;
  InetSocketAddress address;

  @BeforeEach
  void listen() throws IOException {
    reference.set(node);
    front =
        HttpFront.builder()
            .loops(loops)
            .address(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .limits(
                LimitSection.newBuilder()
                    .setMaximumHeaderBytes(2048)
                    .setMaximumBodyBytes(BODY_LIMIT)
                    .setMaximumConnections(CONNECTION_LIMIT)
                    .build())
            .node(reference)
            .registry(registry)
            .build();
    address = front.listen();
  }

  @AfterEach
  void close() {
    client.close();
    front.close();
    loops.close();
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

  String raw(String text) throws IOException {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setSoTimeout(3000);
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      StringBuilder answer = new StringBuilder();
      while (answer.indexOf("\r\n\r\n") < 0) {
        int value = socket.getInputStream().read();
        if (value < 0) {
          break;
        }
        answer.append((char) value);
      }
      return answer.toString();
    }
  }

  /** Lets the loops finish what they began with a connection that they closed. */
  void settle() {
    for (int i = 0; i < 10; i++) {
      loops.loops().forEach(loop -> CompletableFuture.runAsync(() -> {}, loop).join());
    }
  }
}
