package org.flamingochute.standin.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.flamingochute.platform.EndpointOutcome;
import org.flamingochute.platform.EndpointRequest;
import org.flamingochute.platform.HeaderField;
import org.flamingochute.schema.InstancePower;
import org.flamingochute.standin.RunnerReply;
import org.flamingochute.standin.StandInHeaders;
import org.flamingochute.standin.StandInRunner;

/** HTTP interface of a stand-in runner. */
final class RunnerServlet {

  /** Path of the route with which the platform stand-in powers instances up and down. */
  static final String POWER_PATH = "/standin/power";

  private static final int STATUS_UNAVAILABLE = 503;
  private static final long DEFAULT_TIMEOUT_MILLISECONDS = 30_000;
  private static final String OUTCOME_NOT_RUN = "not-run";
  private static final HttpHeader REQUEST_ID = HttpHeaders.of(StandInHeaders.REQUEST_ID);
  private static final HttpHeader OUTCOME = HttpHeaders.of(StandInHeaders.OUTCOME);

  private static final List<String> RUNNER_HEADERS =
      List.of(
          StandInHeaders.REQUEST_TAG,
          StandInHeaders.TEAM_TAG,
          StandInHeaders.RESPONSE_BYTES,
          StandInHeaders.RUN_MILLISECONDS);

  private final StandInRunner runner;
  private final AsyncServlet powerServlet;

  /** Creates the servlet of a runner. */
  RunnerServlet(StandInRunner runner) {
    this.runner = runner;
    this.powerServlet = HttpBodies.jsonServlet(InstancePower.getDefaultInstance(), this::setPower);
  }

  /** Serves one request. */
  Promise<HttpResponse> serve(HttpRequest request) throws Exception {
    if (request.getPath().equals(POWER_PATH)) {
      return powerServlet.serve(request);
    }
    return request
        .loadBody(HttpListeners.MAXIMUM_BODY_BYTES)
        .then(body -> submitRequest(request, body.getArray()));
  }

  private Promise<HttpResponse> setPower(InstancePower settings) {
    runner.setPower(settings.getOn());
    return HttpBodies.jsonResponse(settings);
  }

  private Promise<HttpResponse> submitRequest(HttpRequest request, byte[] body) {
    EndpointRequest received =
        new EndpointRequest(
            headerOrDefault(request, StandInHeaders.REQUEST_ID, ""),
            request.getMethod().name(),
            request.getPathAndQuery(),
            readHeaders(request),
            body,
            readTimeout(request),
            false);
    return Promise.ofCompletionStage(runner.submit(received))
        .then(reply -> toResponse(received.requestId(), reply));
  }

  private static List<HeaderField> readHeaders(HttpRequest request) {
    List<HeaderField> headers = new ArrayList<>();
    for (String name : RUNNER_HEADERS) {
      String value = request.getHeader(HttpHeaders.of(name));
      if (value != null) {
        headers.add(new HeaderField(name, value));
      }
    }
    return headers;
  }

  private static String headerOrDefault(HttpRequest request, String name, String defaultValue) {
    String value = request.getHeader(HttpHeaders.of(name));
    return value == null ? defaultValue : value;
  }

  private static long readTimeout(HttpRequest request) {
    String value = headerOrDefault(request, StandInHeaders.TIMEOUT_MILLISECONDS, "");
    List<HeaderField> field = List.of(new HeaderField(StandInHeaders.TIMEOUT_MILLISECONDS, value));
    return StandInHeaders.findNumber(
        field, StandInHeaders.TIMEOUT_MILLISECONDS, DEFAULT_TIMEOUT_MILLISECONDS);
  }

  private static Promise<HttpResponse> toResponse(String requestId, RunnerReply reply) {
    return switch (reply) {
      case RunnerReply.Refused refused ->
          HttpResponse.ofCode(STATUS_UNAVAILABLE)
              .withHeader(OUTCOME, OUTCOME_NOT_RUN)
              .withHeader(REQUEST_ID, requestId)
              .withPlainText(refused.detail())
              .toPromise();
      case RunnerReply.Complete complete ->
          responseBuilder(complete.response()).withBody(complete.response().body()).toPromise();
      case RunnerReply.Truncated truncated -> truncatedResponse(truncated.response());
      case RunnerReply.Duplicated duplicated -> duplicatedResponse(duplicated.response());
      case RunnerReply.ConnectionClosed closed -> closedConnectionResponse();
    };
  }

  private static HttpResponse.Builder responseBuilder(EndpointOutcome.Answered runnerResponse) {
    HttpResponse.Builder response = HttpResponse.ofCode(runnerResponse.status());
    for (HeaderField header : runnerResponse.headers()) {
      response.withHeader(HttpHeaders.of(header.name()), header.value());
    }
    return response;
  }

  private static Promise<HttpResponse> truncatedResponse(EndpointOutcome.Answered runnerResponse) {
    byte[] body = runnerResponse.body();
    ByteBuf half = ByteBuf.wrap(body, 0, body.length / 2);
    return responseBuilder(runnerResponse)
        .withHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(body.length))
        .withBodyStream(failAfter(ChannelSuppliers.ofValue(half)))
        .toPromise();
  }

  private static Promise<HttpResponse> closedConnectionResponse() {
    return HttpResponse.ok200()
        .withHeader(HttpHeaders.CONTENT_LENGTH, "1")
        .withBodyStream(failAfter(ChannelSuppliers.ofValues()))
        .toPromise();
  }

  private static ChannelSupplier<ByteBuf> failAfter(ChannelSupplier<ByteBuf> content) {
    Exception cause = new EOFException("the stand-in truncates its response");
    return ChannelSuppliers.concat(content, ChannelSuppliers.ofException(cause));
  }

  /** Returns a response whose body is followed by the bytes of the whole response once more. */
  private static Promise<HttpResponse> duplicatedResponse(EndpointOutcome.Answered runnerResponse) {
    byte[] body = runnerResponse.body();
    return responseBuilder(runnerResponse)
        .withHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(body.length))
        .withBodyStream(
            ChannelSuppliers.ofValues(
                ByteBuf.wrapForReading(body),
                ByteBuf.wrapForReading(encodeResponse(runnerResponse))))
        .toPromise();
  }

  private static byte[] encodeResponse(EndpointOutcome.Answered runnerResponse) {
    StringBuilder headerText = new StringBuilder("HTTP/1.1 " + runnerResponse.status() + " OK\r\n");
    for (HeaderField header : runnerResponse.headers()) {
      headerText.append(header.name()).append(": ").append(header.value()).append("\r\n");
    }
    headerText.append("Content-Length: ").append(runnerResponse.body().length).append("\r\n\r\n");
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(headerText.toString().getBytes(StandardCharsets.US_ASCII));
    bytes.writeBytes(runnerResponse.body());
    return bytes.toByteArray();
  }
}
