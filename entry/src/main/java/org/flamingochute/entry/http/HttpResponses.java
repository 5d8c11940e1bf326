package org.flamingochute.entry.http;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaderValue;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.schema.ErrorBody;

/** Builds HTTP responses. */
final class HttpResponses {
  private static final JsonFormat.Printer PRINTER =
      JsonFormat.printer().alwaysPrintFieldsWithNoPresence();

  private HttpResponses() {}

  /** Returns a response with a message as JSON. */
  static HttpResponse jsonResponse(int status, MessageOrBuilder message) {
    return jsonBuilder(status, message).build();
  }

  /** Returns a response with a message as JSON and the outcome header. */
  static HttpResponse jsonResponse(int status, MessageOrBuilder message, OutcomeName outcome) {
    HttpResponse.Builder builder = jsonBuilder(status, message);
    if (outcome != OutcomeName.NONE) {
      builder.withHeader(HeaderNames.OUTCOME, outcome.text());
    }
    return builder.build();
  }

  private static HttpResponse.Builder jsonBuilder(int status, MessageOrBuilder message) {
    return HttpResponse.ofCode(status)
        .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
        .withBody(print(message).getBytes(StandardCharsets.UTF_8));
  }

  private static String print(MessageOrBuilder message) {
    try {
      return PRINTER.print(message) + "\n";
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(
          "messages without Any fields can always be printed as JSON", e);
    }
  }

  /** Returns a plain-text response. */
  static HttpResponse textResponse(int status, String text) {
    return textBuilder(status, text).build();
  }

  static HttpResponse.Builder textBuilder(int status, String text) {
    return HttpResponse.ofCode(status)
        .withHeader(HttpHeaders.CONTENT_TYPE, "text/plain; charset=utf-8")
        .withBody(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a copy of a response with the header {@code Connection: close}. */
  static HttpResponse withConnectionClose(HttpResponse response) {
    HttpResponse.Builder builder = HttpResponse.ofCode(response.getCode());
    for (Map.Entry<HttpHeader, HttpHeaderValue> header : response.getHeaders()) {
      builder.withHeader(header.getKey(), header.getValue());
    }
    builder.withHeader(HttpHeaders.CONNECTION, "close");
    return builder.withBody(response.takeBody()).build();
  }

  /** Returns an error response with the status of the error code. */
  static HttpResponse errorResponse(ErrorReport report, OutcomeName outcome) {
    return errorResponse(ErrorStatus.of(report.code()), report, outcome);
  }

  /** Returns an error response with the given status. */
  static HttpResponse errorResponse(int status, ErrorReport report, OutcomeName outcome) {
    ErrorBody body =
        ErrorBody.newBuilder()
            .setCode(report.code().number())
            .setMessage(report.message())
            .setOutcome(outcome.text())
            .build();
    return jsonResponse(status, body, outcome);
  }
}
