package org.flamingochute.entry.http;

import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.vavr.control.Either;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.IdempotencyKey;
import org.flamingochute.decision.identity.Identifiers;
import org.flamingochute.decision.identity.ServiceId;
import org.flamingochute.engine.CallerRequest;
import org.flamingochute.platform.HeaderField;
import org.flamingochute.platform.http.HopByHopHeaders;
import org.flamingochute.platform.http.MessageSyntax;

/** Parses a caller's request to a service. */
final class CallerRequestReader {
  private static final Set<HttpMethod> IDEMPOTENT_METHODS =
      Set.of(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.PUT, HttpMethod.DELETE);
  private static final int SERVICE_SEGMENT = 1;
  private static final int SEGMENTS_BEFORE_REMAINDER = 2;

  private final RequestValidator validator;

  CallerRequestReader(RequestValidator validator) {
    this.validator = validator;
  }

  /**
   * Parses everything except the body, which is left empty.
   *
   * @param maximumMilliseconds upper limit of the request's timeout; the default if none is given
   */
  Either<ErrorReport, CallerRequest> read(
      HttpRequest request, RequestPath path, long maximumMilliseconds) {
    String service = path.segment(SERVICE_SEGMENT).orElse("");
    if (!Identifiers.isValid(service)) {
      return Either.left(
          validator.reportMalformed("path", path.toString(), "does not name a service"));
    }
    if (!MessageSyntax.isValidPath(path.remainderAfter(SEGMENTS_BEFORE_REMAINDER))) {
      return Either.left(
          validator.reportMalformed(
              "path", path.toString(), "has a character that must be percent-encoded"));
    }
    Either<ErrorReport, Long> timeout = readTimeout(request, maximumMilliseconds);
    if (timeout.isLeft()) {
      return Either.left(timeout.getLeft());
    }
    Either<ErrorReport, Boolean> idempotent = readIdempotent(request);
    if (idempotent.isLeft()) {
      return Either.left(idempotent.getLeft());
    }
    String idempotencyKey = request.getHeader(HeaderNames.IDEMPOTENCY_KEY);
    if (idempotencyKey != null && !Identifiers.isValid(idempotencyKey)) {
      return Either.left(
          validator.reportMalformed(
              "Idempotency-Key",
              idempotencyKey,
              "is not 1 to 200 characters without control characters"));
    }
    return Either.right(
        new CallerRequest(
            new ServiceId(service),
            Optional.ofNullable(request.getHeader(HeaderNames.KEY)),
            request.getMethod().name(),
            path.remainderAfter(SEGMENTS_BEFORE_REMAINDER),
            forwardedHeaders(request),
            new byte[0],
            timeout.get(),
            idempotent.get(),
            Optional.ofNullable(idempotencyKey).map(IdempotencyKey::new)));
  }

  private Either<ErrorReport, Long> readTimeout(HttpRequest request, long maximumMilliseconds) {
    String text = request.getHeader(HeaderNames.TIMEOUT);
    if (text == null) {
      return Either.right(maximumMilliseconds);
    }
    try {
      long milliseconds = Long.parseLong(text.strip());
      if (milliseconds > 0) {
        return Either.right(Math.min(milliseconds, maximumMilliseconds));
      }
    } catch (NumberFormatException e) {
      // Reported below, like a number out of range.
    }
    return Either.left(
        validator.reportMalformed(
            HeaderNames.TIMEOUT.toString(), text, "is not a positive number"));
  }

  private Either<ErrorReport, Boolean> readIdempotent(HttpRequest request) {
    String text = request.getHeader(HeaderNames.IDEMPOTENT);
    if (text == null) {
      return Either.right(IDEMPOTENT_METHODS.contains(request.getMethod()));
    }
    return switch (text.strip()) {
      case "true" -> Either.right(true);
      case "false" -> Either.right(false);
      default ->
          Either.left(
              validator.reportMalformed(
                  HeaderNames.IDEMPOTENT.toString(), text, "is not true or false"));
    };
  }

  /**
   * Returns the headers to forward to the endpoint: all except hop-by-hop headers, headers with the
   * prefix of this system, and a gzip content encoding, since the body is already decompressed.
   */
  private static List<HeaderField> forwardedHeaders(HttpRequest request) {
    List<HeaderField> forwarded = HopByHopHeaders.removeFrom(RequestValidator.headersOf(request));
    forwarded.removeIf(CallerRequestReader::isNotForwarded);
    return forwarded;
  }

  private static boolean isNotForwarded(HeaderField header) {
    String name = header.name().toLowerCase(Locale.ROOT);
    boolean isGzipEncoding =
        name.equals("content-encoding") && header.value().strip().equalsIgnoreCase("gzip");
    return isGzipEncoding || name.startsWith(HeaderNames.LOWER_CASE_PREFIX);
  }
}
