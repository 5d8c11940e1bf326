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

/** Builds answers. */
final class Answers {
  private static final JsonFormat.Printer PRINTER =
      JsonFormat.printer().alwaysPrintFieldsWithNoPresence();

  private Answers() {}

  /** Returns an answer with a message as JSON. */
  static HttpResponse json(int status, MessageOrBuilder message) {
    return jsonBuilder(status, message).build();
  }

  /** Returns an answer with a message as JSON and an outcome. */
  static HttpResponse json(int status, MessageOrBuilder message, OutcomeName outcome) {
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
      throw new IllegalStateException("messages without Any fields always have a JSON form", e);
    }
  }

  /** Returns an answer with plain text. */
  static HttpResponse text(int status, String text) {
    return textBuilder(status, text).build();
  }

  static HttpResponse.Builder textBuilder(int status, String text) {
    return HttpResponse.ofCode(status)
        .withHeader(HttpHeaders.CONTENT_TYPE, "text/plain; charset=utf-8")
        .withBody(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the same answer, but asks the caller to close the connection after it. */
  static HttpResponse closing(HttpResponse answer) {
    HttpResponse.Builder builder = HttpResponse.ofCode(answer.getCode());
    for (Map.Entry<HttpHeader, HttpHeaderValue> header : answer.getHeaders()) {
      builder.withHeader(header.getKey(), header.getValue());
    }
    builder.withHeader(HttpHeaders.CONNECTION, "close");
    return builder.withBody(answer.takeBody()).build();
  }

  /** Returns an error answer with the status of its code. */
  static HttpResponse error(ErrorReport report, OutcomeName outcome) {
    return error(ErrorStatus.of(report.code()), report, outcome);
  }

  /** Returns an error answer with a given status. */
  static HttpResponse error(int status, ErrorReport report, OutcomeName outcome) {
    ErrorBody body =
        ErrorBody.newBuilder()
            .setCode(report.code().number())
            .setMessage(report.message())
            .setOutcome(outcome.text())
            .build();
    return json(status, body, outcome);
  }
}
