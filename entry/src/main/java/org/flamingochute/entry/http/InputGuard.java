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
 * Applies the limits on headers and bodies and reports input that breaks them.
 *
 * <p>Every report is counted and logged in one line that names the field and the value.
 */
final class InputGuard {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Separator, space and line end around name and value. */
  private static final int HEADER_OVERHEAD_BYTES = 4;

  private static final int LONGEST_SHOWN_VALUE = 100;

  private final LimitSection limits;
  private final FrontMetrics metrics;

  InputGuard(LimitSection limits, FrontMetrics metrics) {
    this.limits = limits;
    this.metrics = metrics;
  }

  /**
   * Tells whether the body's end can be read in two ways, which a proxy before this entry may read
   * in the other one: two lengths, a length with chunks, or an encoding other than chunks.
   */
  boolean isEndAmbiguous(HttpRequest request) {
    int lengths = 0;
    int encodings = 0;
    for (Map.Entry<HttpHeader, HttpHeaderValue> header : request.getHeaders()) {
      if (header.getKey().equals(HttpHeaders.CONTENT_LENGTH)) {
        lengths++;
      }
      if (header.getKey().equals(HttpHeaders.TRANSFER_ENCODING)) {
        encodings++;
        if (!header.getValue().toString().strip().equalsIgnoreCase("chunked")) {
          return true;
        }
      }
    }
    return lengths + encodings > 1;
  }

  /** Checks the characters of all headers and their size together. */
  Either<ErrorReport, Void> checkHeaders(HttpRequest request) {
    if (!MessageSyntax.areHeaders(headersOf(request))) {
      return Either.left(malformed("headers", "", "a name or value has a control character"));
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
    return Either.left(malformed("headers", bytes + " bytes", problem));
  }

  /** Returns all headers of a request. */
  static List<HeaderField> headersOf(HttpRequest request) {
    List<HeaderField> headers = new ArrayList<>();
    for (Map.Entry<HttpHeader, HttpHeaderValue> entry : request.getHeaders()) {
      headers.add(new HeaderField(entry.getKey().toString(), entry.getValue().toString()));
    }
    return headers;
  }

  /** Reads the whole body, or reports that it is too large or cut. */
  Promise<Either<ErrorReport, byte[]>> body(HttpRequest request) {
    int maximum = limits.getMaximumBodyBytes();
    String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
    if (length != null && !isWithin(length, maximum)) {
      return Promise.of(Either.left(tooLarge(maximum)));
    }
    return request
        .loadBody(maximum)
        .then((body, error) -> Promise.of(loaded(request, body, error)));
  }

  private Either<ErrorReport, byte[]> loaded(HttpRequest request, ByteBuf body, Exception error) {
    int maximum = limits.getMaximumBodyBytes();
    if (error != null && request.getConnection().isClosed()) {
      // The server observer has counted it; no one reads the answer.
      return Either.left(
          ErrorReport.of(ErrorCode.BODY_MALFORMED, "whole request", error.getMessage()));
    }
    if (error != null || body.readRemaining() > maximum) {
      return Either.left(tooLarge(maximum));
    }
    return Either.right(body.getArray());
  }

  private static boolean isWithin(String length, int maximum) {
    try {
      return Long.parseLong(length.strip()) <= maximum;
    } catch (NumberFormatException e) {
      return false;
    }
  }

  private ErrorReport tooLarge(int maximum) {
    ErrorReport report = ErrorReport.of(ErrorCode.BODY_TOO_LARGE, maximum);
    count(report);
    return report;
  }

  /** Reports a malformed field. */
  ErrorReport malformed(String field, String value, String problem) {
    String shown =
        value.length() > LONGEST_SHOWN_VALUE ? value.substring(0, LONGEST_SHOWN_VALUE) : value;
    ErrorReport report = ErrorReport.of(ErrorCode.REQUEST_MALFORMED, field, shown, problem);
    count(report);
    return report;
  }

  /** Reports a body that is not a message of the wanted type. */
  ErrorReport malformedBody(String type, String problem) {
    ErrorReport report = ErrorReport.of(ErrorCode.BODY_MALFORMED, type, problem);
    count(report);
    return report;
  }

  private void count(ErrorReport report) {
    metrics.malformed().inc();
    logger.atInfo().log(
        "event=malformed_request code=%d message=%s",
        report.code().number(), LogText.quoted(report.message()));
  }

  /** Answers an exception while serving as an unknown outcome. */
  HttpResponse failed(Throwable error) {
    metrics.failures().inc();
    logger.atSevere().withCause(error).log("event=request_failed");
    ErrorReport report = ErrorReport.of(ErrorCode.ENTRY_FAILED, error.getClass().getSimpleName());
    return Answers.error(ErrorStatus.UNKNOWN_OUTCOME, report, OutcomeName.UNKNOWN);
  }
}
