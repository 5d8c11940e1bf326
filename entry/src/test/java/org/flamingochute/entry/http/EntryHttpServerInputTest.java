package org.flamingochute.entry.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;
import org.flamingochute.entry.FakeEntryNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests that malformed, oversized, truncated and ambiguous HTTP input is rejected.
 *
 * <p>Guards against running a request whose caller did not send it in this form, for example a
 * second request smuggled in the body of the first, and against a server that stops serving after
 * invalid input.
 */
class EntryHttpServerInputTest extends EntryHttpServerFixture {
  static Stream<Arguments> malformedRequests() {
    String large = "x".repeat(BODY_LIMIT + 1);
    return Stream.of(
        arguments("GET", "/services/", null, "A", "b", 400),
        arguments("GET", "/services/s", null, "Flamingochute-Timeout-Milliseconds", "soon", 400),
        arguments("GET", "/services/s", null, "Flamingochute-Timeout-Milliseconds", "0", 400),
        arguments("GET", "/services/s", null, "Flamingochute-Timeout-Milliseconds", "-5", 400),
        arguments("GET", "/services/s", null, "Flamingochute-Idempotent", "maybe", 400),
        arguments("POST", "/services/s", "b", "Idempotency-Key", "k".repeat(201), 400),
        arguments("GET", "/services/s", null, "X-Long", "v".repeat(3000), 400),
        arguments("POST", "/services/s", large, "A", "b", 413),
        arguments("GET", "/services/%ZZ", null, "A", "b", 400),
        arguments("POST", "/jobs", "{", "Flamingochute-Key", FakeEntryNode.KEY, 400),
        arguments("POST", "/jobs", "{\"pol\":\"a\"}", "Flamingochute-Key", "k", 400),
        arguments("POST", "/jobs", large, "Flamingochute-Key", FakeEntryNode.KEY, 413),
        arguments("POST", "/jobs/cancel", "{\"jobs\":[\"\"]}", "Flamingochute-Key", "k", 400),
        arguments("GET", "/nothing", null, "A", "b", 404),
        arguments("GET", "/", null, "A", "b", 404),
        arguments("GET", "/health/other", null, "A", "b", 404),
        arguments("DELETE", "/jobs/j1", null, "Flamingochute-Key", "k", 405),
        arguments("GET", "/jobs/j1/x", null, "Flamingochute-Key", "k", 404),
        arguments("POST", "/jobs", "{}", "A", "b", 401),
        arguments("GET", "/operator/status", null, "Flamingochute-Operator", "ana", 401));
  }

  @ParameterizedTest
  @MethodSource("malformedRequests")
  void malformedRequestIsRejectedWithErrorBodyAndServerContinues(
      String method, String path, String body, String header, String value, int status)
      throws Exception {
    // java.net.URI does not accept this path, so it is sent over a plain socket.
    if (path.contains("%ZZ")) {
      String raw = sendRaw(method + " " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
      assertThat(raw, startsWith("HTTP/1.1 400"));
    } else {
      HttpResponse<String> response = send(method, path, body, header, value);
      assertThat(response.statusCode(), equalTo(status));
      assertThat(response.body(), containsString("\"message\""));
    }
    assertThat(node.requests.isEmpty() && node.calls.isEmpty(), is(true));
    assertThat(send("GET", "/health/live", null).statusCode(), equalTo(200));
  }

  static Stream<String> nonHttpInputs() {
    return Stream.of(
        "\0\1\2\3\r\n\r\n",
        "FETCH / HTTP/1.1\r\n\r\n",
        "GET / HTTP/7.0\r\n\r\n",
        "POST /services/s HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
        "GET / HTTP/1.1\r\nNoColon\r\n\r\n",
        "POST /jobs HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "POST /jobs HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        "GET / HTTP/1.1\r\nA: " + "y".repeat(100_000) + "\r\n\r\n",
        "GET / HTTP/1.1\r\n" + "A: b\r\n".repeat(500) + "\r\n");
  }

  @ParameterizedTest
  @MethodSource("nonHttpInputs")
  void nonHttpInputIsRejectedAndCounted(String text) throws Exception {
    String response;
    try {
      response = sendRaw(text);
    } catch (SocketException e) {
      response = "";
    }
    waitForEventLoops();
    assertThat(response.isEmpty() || response.startsWith("HTTP/1.1 4"), is(true));
    assertThat(node.requests.isEmpty(), is(true));
    assertThat(registry.counter("http.malformed").getCount(), greaterThan(0L));
    assertThat(send("GET", "/health/live", null).statusCode(), equalTo(200));
  }

  static Stream<Arguments> chunkedBodies() {
    String large = "x".repeat(BODY_LIMIT + 1);
    return Stream.of(
        arguments("401\r\n" + large + "\r\n0\r\n\r\n", "HTTP/1.1 413"),
        arguments("3\r\nabc\r\n0\r\n\r\n", "HTTP/1.1 200"));
  }

  @ParameterizedTest
  @MethodSource("chunkedBodies")
  void chunkedBodyIsReadUpToSizeLimit(String chunks, String expected) throws Exception {
    String head = "POST /services/s HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    assertThat(sendRaw(head + chunks), startsWith(expected));
    assertThat(send("GET", "/health/live", null).statusCode(), equalTo(200));
  }

  @Test
  void requestWithTruncatedBodyIsNotRun() throws Exception {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      String truncated = "POST /services/s HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc";
      socket.getOutputStream().write(truncated.getBytes(StandardCharsets.ISO_8859_1));
      socket.shutdownOutput();
      socket.setSoTimeout(3000);
      socket.getInputStream().readAllBytes();
    }
    waitForEventLoops();
    assertThat(node.requests.isEmpty(), is(true));
    assertThat(registry.counter("http.malformed").getCount(), greaterThan(0L));
  }

  static Stream<String> ambiguousLengths() {
    return Stream.of(
        "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n",
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        "Content-Length: 0\r\nContent-Length: 4\r\n\r\n",
        "Content-Length: 4\r\nContent-Length: 0\r\n\r\n",
        "Transfer-Encoding: identity\r\n\r\n",
        "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n");
  }

  @ParameterizedTest
  @MethodSource("ambiguousLengths")
  void requestWithAmbiguousBodyLengthIsRejectedAndConnectionClosed(String rest) throws Exception {
    String smuggled = "GET /services/hidden HTTP/1.1\r\nHost: a\r\n\r\n";
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setSoTimeout(3000);
      String text = "POST /services/s HTTP/1.1\r\nHost: a\r\n" + rest + smuggled + smuggled;
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      readToEnd(socket);
    }
    waitForEventLoops();
    assertThat(node.requests.isEmpty(), is(true));
    assertThat(registry.counter("http.malformed").getCount(), greaterThan(0L));
  }

  private static void readToEnd(Socket socket) throws IOException {
    try {
      socket.getInputStream().readAllBytes();
    } catch (SocketException e) {
      // The server closed the connection with unread input, which resets it.
    }
  }

  static Stream<String> controlCharacters() {
    return Stream.of("X-A: b\rc", "X-A: b\0c", "X-A: b\177c");
  }

  @ParameterizedTest
  @MethodSource("controlCharacters")
  void controlCharacterInHeaderIsRejected(String header) throws Exception {
    String response = sendRaw("GET /services/s HTTP/1.1\r\nHost: a\r\n" + header + "\r\n\r\n");
    assertThat(response, startsWith("HTTP/1.1 400"));
    assertThat(node.requests.isEmpty(), is(true));
  }

  @Test
  void nonAsciiOctetsInPathAreRejected() throws Exception {
    String response =
        sendRaw("GET /services/s/" + NON_ASCII_OCTETS + " HTTP/1.1\r\nHost: a\r\n\r\n");
    assertThat(response, startsWith("HTTP/1.1 400"));
    assertThat(node.requests.isEmpty(), is(true));
  }
}
