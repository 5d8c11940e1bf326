package org.flamingochute.entry.http;

import com.google.common.flogger.FluentLogger;
import io.activej.bytebuf.ByteBuf;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaderValue;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.misc.LogText;
import org.flamingochute.platform.HeaderField;
import org.flamingochute.platform.http.MessageSyntax;
import org.flamingochute.schema.LimitSection;

/**
 * Enforces the limits on headers and bodies and reports input that violates them.
 *
 * <p>Every report is counted and logged in one line with its code and message.
 */
final class RequestValidator {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Size of the colon, space and line break of a header. */
  private static final int HEADER_OVERHEAD_BYTES = 4;

  private static final int MAXIMUM_REPORTED_VALUE_CHARACTERS = 100;

  private final LimitSection limits;
  private final HttpServerMetrics metrics;

  RequestValidator(LimitSection limits, HttpServerMetrics metrics) {
    this.limits = limits;
    this.metrics = metrics;
  }

  /**
   * Returns whether the body length is ambiguous: two lengths, a length and chunks, or an encoding
   * other than chunked. A proxy in front of this entry may interpret such a request differently,
   * which allows request smuggling.
   */
  boolean hasAmbiguousBodyLength(HttpRequest request) {
    int contentLengths = 0;
    int transferEncodings = 0;
    for (Map.Entry<HttpHeader, HttpHeaderValue> header : request.getHeaders()) {
      if (header.getKey().equals(HttpHeaders.CONTENT_LENGTH)) {
        contentLengths++;
      }
      if (header.getKey().equals(HttpHeaders.TRANSFER_ENCODING)) {
        transferEncodings++;
        if (!header.getValue().toString().strip().equalsIgnoreCase("chunked")) {
          return true;
        }
      }
    }
    return contentLengths + transferEncodings > 1;
  }

  /** Checks the characters of all headers and their total size. */
  Either<ErrorReport, Void> checkHeaders(HttpRequest request) {
    if (!MessageSyntax.areValidHeaders(headersOf(request))) {
      return Either.left(reportMalformed("headers", "", "a name or value has a control character"));
    }
    long bytes = 0;
    for (Map.Entry<HttpHeader, HttpHeaderValue> header : request.getHeaders()) {
      bytes += header.getKey().size() + header.getValue().toString().length();
      bytes += HEADER_OVERHEAD_BYTES;
    }
    if (bytes <= limits.getMaximumHeaderBytes()) {
      return Either.right(null);
    }
    String problem = "more than " + limits.getMaximumHeaderBytes() + " bytes";
    return Either.left(reportMalformed("headers", bytes + " bytes", problem));
  }

  /** Returns all headers of a request. */
  static List<HeaderField> headersOf(HttpRequest request) {
    List<HeaderField> headers = new ArrayList<>();
    for (Map.Entry<HttpHeader, HttpHeaderValue> entry : request.getHeaders()) {
      headers.add(new HeaderField(entry.getKey().toString(), entry.getValue().toString()));
    }
    return headers;
  }

  /** Reads the whole body, or reports that it is too large or truncated. */
  Promise<Either<ErrorReport, byte[]>> readBody(HttpRequest request) {
    int maximum = limits.getMaximumBodyBytes();
    String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
    if (length != null && !isAtMost(length, maximum)) {
      return Promise.of(Either.left(reportTooLarge(maximum)));
    }
    return request
        .loadBody(maximum)
        .then((body, error) -> Promise.of(checkLoadedBody(request, body, error)));
  }

  private Either<ErrorReport, byte[]> checkLoadedBody(
      HttpRequest request, ByteBuf body, Exception error) {
    int maximum = limits.getMaximumBodyBytes();
    if (error != null && request.getConnection().isClosed()) {
      // Already counted by HttpServerInspector; the response cannot be delivered.
      return Either.left(
          ErrorReport.of(ErrorCode.BODY_MALFORMED, "whole request", error.getMessage()));
    }
    if (error != null || body.readRemaining() > maximum) {
      return Either.left(reportTooLarge(maximum));
    }
    return Either.right(body.getArray());
  }

  private static boolean isAtMost(String length, int maximum) {
    try {
      return Long.parseLong(length.strip()) <= maximum;
    } catch (NumberFormatException e) {
      return false;
    }
  }

  private ErrorReport reportTooLarge(int maximum) {
    ErrorReport report = ErrorReport.of(ErrorCode.BODY_TOO_LARGE, maximum);
    recordMalformed(report);
    return report;
  }

  /** Counts, logs and returns the error of a malformed field. */
  ErrorReport reportMalformed(String field, String value, String problem) {
    String truncated =
        value.length() > MAXIMUM_REPORTED_VALUE_CHARACTERS
            ? value.substring(0, MAXIMUM_REPORTED_VALUE_CHARACTERS)
            : value;
    ErrorReport report = ErrorReport.of(ErrorCode.REQUEST_MALFORMED, field, truncated, problem);
    recordMalformed(report);
    return report;
  }

  /** Counts, logs and returns the error of a body that is not a message of the expected type. */
  ErrorReport reportMalformedBody(String type, String problem) {
    ErrorReport report = ErrorReport.of(ErrorCode.BODY_MALFORMED, type, problem);
    recordMalformed(report);
    return report;
  }

  private void recordMalformed(ErrorReport report) {
    metrics.malformed().inc();
    logger.atInfo().log(
        "event=malformed_request code=%d message=%s",
        report.code().number(), LogText.quoted(report.message()));
  }

  /** Logs an exception thrown while serving and returns a response with an unknown outcome. */
  HttpResponse internalErrorResponse(Throwable error) {
    metrics.failures().inc();
    logger.atSevere().withCause(error).log("event=request_failed");
    ErrorReport report = ErrorReport.of(ErrorCode.ENTRY_FAILED, error.getClass().getSimpleName());
    return HttpResponses.errorResponse(ErrorStatus.GATEWAY_TIMEOUT, report, OutcomeName.UNKNOWN);
  }
}
