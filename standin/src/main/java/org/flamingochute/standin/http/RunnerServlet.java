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
import org.flamingochute.standin.RequestTags;
import org.flamingochute.standin.RunnerReply;
import org.flamingochute.standin.StandInRunner;

/** Serves the requests of one stand-in runner. */
final class RunnerServlet {

  /** Path by which the platform stand-in powers instances up and down. */
  static final String POWER_PATH = "/standin/power";

  private static final int STATUS_UNAVAILABLE = 503;
  private static final long DEFAULT_TIMEOUT_MILLISECONDS = 30_000;
  private static final String NOT_RUN = "not-run";
  private static final HttpHeader REQUEST_ID = HttpHeaders.of(RequestTags.REQUEST_ID);
  private static final HttpHeader OUTCOME = HttpHeaders.of(RequestTags.OUTCOME);

  private static final List<String> READ_HEADERS =
      List.of(
          RequestTags.REQUEST_TAG,
          RequestTags.TEAM_TAG,
          RequestTags.ANSWER_BYTES,
          RequestTags.RUN_MILLISECONDS);

  private final StandInRunner runner;
  private final AsyncServlet power;

  /** Creates the servlet of a runner. */
  RunnerServlet(StandInRunner runner) {
    this.runner = runner;
    this.power = HttpBodies.json(InstancePower.getDefaultInstance(), this::setPower);
  }

  /** Serves one request. */
  Promise<HttpResponse> serve(HttpRequest request) throws Exception {
    if (request.getPath().equals(POWER_PATH)) {
      return power.serve(request);
    }
    return request
        .loadBody(HttpListeners.MAXIMUM_BODY_BYTES)
        .then(body -> submit(request, body.getArray()));
  }

  private Promise<HttpResponse> setPower(InstancePower settings) {
    runner.setPower(settings.getOn());
    return HttpBodies.respond(settings);
  }

  private Promise<HttpResponse> submit(HttpRequest request, byte[] body) {
    EndpointRequest received =
        new EndpointRequest(
            headerOr(request, RequestTags.REQUEST_ID, ""),
            request.getMethod().name(),
            request.getPathAndQuery(),
            readHeaders(request),
            body,
            timeoutOf(request),
            false);
    return Promise.ofCompletionStage(runner.submit(received))
        .then(reply -> respond(received.requestId(), reply));
  }

  private static List<HeaderField> readHeaders(HttpRequest request) {
    List<HeaderField> headers = new ArrayList<>();
    for (String name : READ_HEADERS) {
      String value = request.getHeader(HttpHeaders.of(name));
      if (value != null) {
        headers.add(new HeaderField(name, value));
      }
    }
    return headers;
  }

  private static String headerOr(HttpRequest request, String name, String defaultValue) {
    String value = request.getHeader(HttpHeaders.of(name));
    return value == null ? defaultValue : value;
  }

  private static long timeoutOf(HttpRequest request) {
    String value = headerOr(request, RequestTags.TIMEOUT_MILLISECONDS, "");
    List<HeaderField> field = List.of(new HeaderField(RequestTags.TIMEOUT_MILLISECONDS, value));
    return RequestTags.findNumber(
        field, RequestTags.TIMEOUT_MILLISECONDS, DEFAULT_TIMEOUT_MILLISECONDS);
  }

  private static Promise<HttpResponse> respond(String requestId, RunnerReply reply) {
    return switch (reply) {
      case RunnerReply.Refused refused ->
          HttpResponse.ofCode(STATUS_UNAVAILABLE)
              .withHeader(OUTCOME, NOT_RUN)
              .withHeader(REQUEST_ID, requestId)
              .withPlainText(refused.detail())
              .toPromise();
      case RunnerReply.Whole whole ->
          whole(whole.answer()).withBody(whole.answer().body()).toPromise();
      case RunnerReply.BrokenOff brokenOff -> brokenOff(brokenOff.answer());
      case RunnerReply.Repeated repeated -> repeated(repeated.answer());
      case RunnerReply.Cut cut -> cut();
    };
  }

  private static HttpResponse.Builder whole(EndpointOutcome.Answered answer) {
    HttpResponse.Builder response = HttpResponse.ofCode(answer.status());
    for (HeaderField header : answer.headers()) {
      response.withHeader(HttpHeaders.of(header.name()), header.value());
    }
    return response;
  }

  private static Promise<HttpResponse> brokenOff(EndpointOutcome.Answered answer) {
    byte[] body = answer.body();
    ByteBuf half = ByteBuf.wrap(body, 0, body.length / 2);
    return whole(answer)
        .withHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(body.length))
        .withBodyStream(endingEarly(ChannelSuppliers.ofValue(half)))
        .toPromise();
  }

  private static Promise<HttpResponse> cut() {
    return HttpResponse.ok200()
        .withHeader(HttpHeaders.CONTENT_LENGTH, "1")
        .withBodyStream(endingEarly(ChannelSuppliers.ofValues()))
        .toPromise();
  }

  private static ChannelSupplier<ByteBuf> endingEarly(ChannelSupplier<ByteBuf> begin) {
    Exception cause = new EOFException("the stand-in breaks off its answer");
    return ChannelSuppliers.concat(begin, ChannelSuppliers.ofException(cause));
  }

  /** Writes the answer and, after its end, all its bytes once more. */
  private static Promise<HttpResponse> repeated(EndpointOutcome.Answered answer) {
    byte[] body = answer.body();
    return whole(answer)
        .withHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(body.length))
        .withBodyStream(
            ChannelSuppliers.ofValues(
                ByteBuf.wrapForReading(body), ByteBuf.wrapForReading(bytesOnTheWire(answer))))
        .toPromise();
  }

  private static byte[] bytesOnTheWire(EndpointOutcome.Answered answer) {
    StringBuilder head = new StringBuilder("HTTP/1.1 " + answer.status() + " OK\r\n");
    for (HeaderField header : answer.headers()) {
      head.append(header.name()).append(": ").append(header.value()).append("\r\n");
    }
    head.append("Content-Length: ").append(answer.body().length).append("\r\n\r\n");
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(head.toString().getBytes(StandardCharsets.US_ASCII));
    bytes.writeBytes(answer.body());
    return bytes.toByteArray();
  }
}
