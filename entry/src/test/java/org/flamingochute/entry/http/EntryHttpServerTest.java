package org.flamingochute.entry.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.IdempotencyKey;
import org.flamingochute.engine.CallerOutcome;
import org.flamingochute.engine.CallerRequest;
import org.flamingochute.entry.FakeEntryNode;
import org.flamingochute.platform.HeaderField;
import org.flamingochute.schema.AuditEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the HTTP interface in front of a fake node. */
class EntryHttpServerTest extends EntryHttpServerFixture {
  @Test
  void requestIsForwardedToNodeAndResponseReturned() throws Exception {
    node.requestHandler =
        request ->
            new CallerOutcome.Answered(
                201,
                List.of(
                    new HeaderField("X-Answer", "yes"),
                    new HeaderField("Flamingochute-Outcome", "forged")),
                request.body());
    HttpResponse<String> response =
        send(
            "POST",
            "/services/quotes/print%2Frun?club=a%20b&x",
            "jersey",
            "Flamingochute-Key",
            "k",
            "Flamingochute-Timeout-Milliseconds",
            "1234",
            "Idempotency-Key",
            "order-1",
            "X-Kept",
            "1");
    assertThat(response.statusCode(), equalTo(201));
    assertThat(response.body(), equalTo("jersey"));
    assertThat(response.headers().allValues("Flamingochute-Outcome"), equalTo(List.of("answered")));
    assertThat(response.headers().firstValue("X-Answer"), equalTo(Optional.of("yes")));
    CallerRequest request = node.requests.getFirst();
    assertThat(request.service().value(), equalTo("quotes"));
    assertThat(request.path(), equalTo("/print%2Frun?club=a%20b&x"));
    assertThat(request.key(), equalTo(Optional.of("k")));
    assertThat(request.timeoutMilliseconds(), equalTo(1234L));
    assertThat(request.idempotent(), is(false));
    assertThat(request.idempotencyKey(), equalTo(Optional.of(new IdempotencyKey("order-1"))));
    assertThat(request.headers().contains(new HeaderField("X-Kept", "1")), is(true));
    boolean leaked =
        request.headers().stream().anyMatch(h -> h.name().startsWith("Flamingochute-"));
    assertThat(leaked, is(false));
  }

  static Stream<Arguments> idempotenceHeaders() {
    return Stream.of(
        arguments("GET", null, true),
        arguments("HEAD", null, true),
        arguments("PUT", null, true),
        arguments("DELETE", null, true),
        arguments("POST", null, false),
        arguments("PATCH", null, false),
        arguments("POST", "true", true),
        arguments("GET", "false", false));
  }

  @ParameterizedTest
  @MethodSource("idempotenceHeaders")
  void idempotenceDependsOnMethodUnlessHeaderIsSet(String method, String stated, boolean expected)
      throws Exception {
    if (stated == null) {
      send(method, "/services/s", null);
    } else {
      send(method, "/services/s", null, "Flamingochute-Idempotent", stated);
    }
    CallerRequest request = node.requests.getFirst();
    assertThat(request.idempotent(), equalTo(expected));
    assertThat(request.timeoutMilliseconds(), equalTo(9000L));
    assertThat(request.path(), equalTo("/"));
  }

  static Stream<Arguments> notRunErrorCodes() {
    return Stream.of(
        arguments(ErrorCode.KEY_MISSING, 401),
        arguments(ErrorCode.KEY_UNKNOWN, 401),
        arguments(ErrorCode.SERVICE_UNKNOWN, 404),
        arguments(ErrorCode.CLAIM_TAKEN, 409),
        arguments(ErrorCode.CLAIM_OTHER_REQUEST, 409),
        arguments(ErrorCode.QUEUE_FULL, 429),
        arguments(ErrorCode.CAP_REACHED, 429),
        arguments(ErrorCode.DEADLINE_PASSED, 429),
        arguments(ErrorCode.NO_ENDPOINT, 503),
        arguments(ErrorCode.ENTRY_NOT_FRESH, 503),
        arguments(ErrorCode.ENTRY_STOPPING, 503),
        arguments(ErrorCode.LOG_UNAVAILABLE, 503));
  }

  @ParameterizedTest
  @MethodSource("notRunErrorCodes")
  void notRunRequestHasStatusOfItsErrorCode(ErrorCode code, int status) throws Exception {
    node.requestHandler =
        request -> new CallerOutcome.NotRun(ErrorReport.of(code, "a", "b", "c", "d", "e"));
    HttpResponse<String> response = send("GET", "/services/s/x", null);
    assertThat(response.statusCode(), equalTo(status));
    assertThat(outcome(response), equalTo("not-run"));
    assertThat(response.body(), containsString("\"code\": " + code.number()));
    assertThat(response.body(), containsString("\"outcome\": \"not-run\""));
  }

  @ParameterizedTest
  @EnumSource
  void requestThatMayHaveRunHasUnknownOutcome(Ending ending) throws Exception {
    node.requestHandler = ending::end;
    HttpResponse<String> response = send("POST", "/services/s/x", "b");
    assertThat(response.statusCode(), equalTo(504));
    assertThat(outcome(response), equalTo("unknown"));
  }

  /** How the node ends a request that may have run. */
  enum Ending {
    UNKNOWN,
    EXCEPTION;

    CallerOutcome end(CallerRequest request) {
      if (this == EXCEPTION) {
        throw new IllegalStateException("broken");
      }
      return new CallerOutcome.Unknown(ErrorReport.of(ErrorCode.OUTCOME_UNKNOWN, "late"));
    }
  }

  @Test
  void connectionsOverTheLimitAreClosed() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < CONNECTION_LIMIT * 3; i++) {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(3000);
        sockets.add(socket);
        byte[] request = "GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n".getBytes();
        try {
          socket.getOutputStream().write(request);
          socket.getInputStream().read();
        } catch (IOException e) {
          // The connection was refused.
        }
      }
      assertThat(registry.counter("http.refused_connections").getCount(), greaterThan(0L));
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  @Test
  void jobsAreSubmittedShownAndCancelled() throws Exception {
    String[] keyHeader = {"Flamingochute-Key", FakeEntryNode.KEY};
    HttpResponse<String> submitted = send("POST", "/jobs", "{\"pool\":\"proofs\"}", keyHeader);
    assertThat(submitted.statusCode(), equalTo(202));
    assertThat(submitted.body(), containsString("\"job\": \"j1\""));
    assertThat(send("GET", "/jobs/j1", null, keyHeader).statusCode(), equalTo(200));
    assertThat(send("GET", "/jobs/j2", null, keyHeader).statusCode(), equalTo(404));
    assertThat(
        send("POST", "/jobs/cancel", "{\"jobs\":[\"j1\",\"j2\"]}", keyHeader).statusCode(),
        equalTo(202));
    assertThat(node.calls, equalTo(List.of("submit proofs", "cancel [j1, j2]")));
  }

  @Test
  void operatorsReadAndPatchDescription() throws Exception {
    String[] operatorHeaders = {
      "Flamingochute-Operator", FakeEntryNode.OPERATOR,
      "Flamingochute-Operator-Key", FakeEntryNode.OPERATOR_KEY
    };
    HttpResponse<String> text = send("GET", "/operator/description", null, operatorHeaders);
    assertThat(text.statusCode(), equalTo(200));
    assertThat(text.headers().firstValue("Flamingochute-Version"), equalTo(Optional.of("7")));
    HttpResponse<String> json =
        send("GET", "/operator/description?format=json", null, operatorHeaders);
    assertThat(json.body(), containsString("\"version\": \"7\""));
    assertThat(
        send("GET", "/operator/description?format=x", null, operatorHeaders).statusCode(),
        equalTo(400));
    assertThat(
        send("GET", "/operator/history", null, operatorHeaders).body(), containsString("p1"));
    assertThat(
        send("GET", "/operator/status", null, operatorHeaders).body(), containsString("\"ready\""));
    assertThat(send("POST", "/operator/status", "", operatorHeaders).statusCode(), equalTo(405));
    HttpResponse<String> patched =
        send(
            "POST",
            "/operator/patches",
            "{\"patchId\":\"p\",\"operatorName\":\"eve\"}",
            operatorHeaders);
    assertThat(patched.statusCode(), equalTo(200));
    assertThat(patched.body(), containsString("\"operatorName\": \"ana\""));
  }

  static Stream<Arguments> rejectedPatches() {
    return Stream.of(
        arguments(ErrorCode.PATCH_STALE_BASE, 409),
        arguments(ErrorCode.PATCH_EMPTY, 422),
        arguments(ErrorCode.FLEET_INVALID, 422));
  }

  @ParameterizedTest
  @MethodSource("rejectedPatches")
  void rejectedPatchHasStatusOfItsErrorCode(ErrorCode code, int status) throws Exception {
    ErrorReport report = ErrorReport.of(code, "p", "1", "2", "3");
    node.patchHandler =
        patch -> Either.right(AuditEntry.newBuilder().setResult(report.toString()).build());
    String[] operatorHeaders = {"Flamingochute-Operator", "a", "Flamingochute-Operator-Key", "b"};
    assertThat(
        send("POST", "/operator/patches", "{}", operatorHeaders).statusCode(), equalTo(status));
    node.patchHandler = patch -> Either.left(report);
    assertThat(
        send("POST", "/operator/patches", "{}", operatorHeaders).statusCode(), equalTo(status));
  }

  @Test
  void readinessFollowsNode() throws Exception {
    assertThat(send("GET", "/health/ready", null).statusCode(), equalTo(200));
    node.ready = false;
    assertThat(send("GET", "/health/ready", null).statusCode(), equalTo(503));
    assertThat(send("GET", "/health/live", null).statusCode(), equalTo(200));
  }

  @Test
  void metricsAreJson() throws Exception {
    send("GET", "/services/s/x", null);
    HttpResponse<String> response = send("GET", "/metrics", null);
    assertThat(response.body(), containsString("\"http.outcome.answered\": 1.0"));
    assertThat(response.body(), containsString("\"http.service_request_time\": {"));
  }

  static Stream<Arguments> headerValues() {
    return Stream.of("two words", NON_ASCII_OCTETS, "a\tb", "", "\"q\", 'q'").map(Arguments::of);
  }

  @ParameterizedTest
  @MethodSource("headerValues")
  void headerValuesAreForwardedUnchangedInBothDirections(String value) throws Exception {
    node.requestHandler =
        request -> {
          String seen =
              request.headers().stream()
                  .filter(header -> header.name().equalsIgnoreCase("X-Value"))
                  .findFirst()
                  .orElseThrow()
                  .value();
          return new CallerOutcome.Answered(
              200,
              List.of(new HeaderField("X-Back", seen), new HeaderField("X-Back", "second")),
              new byte[0]);
        };
    String response =
        sendRaw("GET /services/s HTTP/1.1\r\nHost: a\r\nX-Value: " + value + "\r\n\r\n");
    assertThat(response, startsWith("HTTP/1.1 200"));
    assertThat(response, containsString("X-Back: " + value + "\r\n"));
    assertThat(response, containsString("X-Back: second\r\n"));
  }

  @ParameterizedTest
  @ValueSource(ints = {204, 304})
  void responseWithoutBodyLeavesConnectionUsable(int status) throws Exception {
    node.requestHandler = request -> new CallerOutcome.Answered(status, List.of(), new byte[0]);
    assertThat(send("GET", "/services/s", null).statusCode(), equalTo(status));
    HttpResponse<String> next = send("GET", "/services/s", null);
    assertThat(next.statusCode(), equalTo(status));
    assertThat(next.body(), equalTo(""));
  }

  @Test
  void closingServerRespondsWithConnectionClose() throws Exception {
    HttpResponse<String> before = send("POST", "/services/s/x", "body");
    assertThat(before.headers().firstValue("Connection").orElse(""), equalTo("keep-alive"));
    httpServer.beginClosing();
    HttpResponse<String> after = send("POST", "/services/s/x", "body");
    assertThat(after.body(), equalTo("body"));
    assertThat(outcome(after), equalTo("answered"));
    assertThat(after.headers().allValues("Connection"), equalTo(List.of("close")));
    assertThat(send("GET", "/nothing", null).statusCode(), equalTo(404));
  }

  @Test
  void openConnectionIsServedAfterServerStopsAccepting() throws Exception {
    try (Socket open = new Socket(address.getAddress(), address.getPort())) {
      open.setSoTimeout(3000);
      byte[] request =
          "GET /services/s HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
      open.getOutputStream().write(request);
      assertThat(open.getInputStream().read(), equalTo((int) 'H'));
      httpServer.stopAccepting();
      open.getOutputStream().write(request);
      byte[] responses = open.getInputStream().readNBytes(150);
      assertThat(
          new String(responses, StandardCharsets.ISO_8859_1).split("HTTP/1.1 200", -1).length,
          equalTo(2));
      assertThrows(ConnectException.class, () -> connect());
    }
  }

  private void connect() throws IOException {
    new Socket(address.getAddress(), address.getPort()).close();
  }

  @Test
  void requestIsNotRunBeforeNodeExists() throws Exception {
    nodeReference.set(null);
    HttpResponse<String> response = send("GET", "/services/s/x", null);
    assertThat(response.statusCode(), equalTo(503));
    assertThat(outcome(response), equalTo("not-run"));
    assertThat(send("GET", "/health/ready", null).statusCode(), equalTo(503));
  }
}
