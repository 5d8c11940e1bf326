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
import org.flamingochute.platform.http.ConnectionHeaders;
import org.flamingochute.platform.http.MessageSyntax;

/** Reads a caller's request to a service. */
final class CallerRequestReader {
  private static final Set<HttpMethod> IDEMPOTENT_METHODS =
      Set.of(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.PUT, HttpMethod.DELETE);
  private static final int SERVICE_PART = 1;
  private static final int PARTS_BEFORE_REMAINDER = 2;

  private final InputGuard guard;

  CallerRequestReader(InputGuard guard) {
    this.guard = guard;
  }

  /**
   * Reads everything but the body, which is left empty.
   *
   * @param maximumMilliseconds longest time that a request may ask for
   */
  Either<ErrorReport, CallerRequest> read(
      HttpRequest request, RequestPath path, long maximumMilliseconds) {
    String service = path.part(SERVICE_PART).orElse("");
    if (!Identifiers.isValid(service)) {
      return Either.left(guard.malformed("path", path.toString(), "names no service"));
    }
    if (!MessageSyntax.isPath(path.remainderAfter(PARTS_BEFORE_REMAINDER))) {
      return Either.left(guard.malformed("path", path.toString(), "has a character to be escaped"));
    }
    Either<ErrorReport, Long> timeout = timeout(request, maximumMilliseconds);
    if (timeout.isLeft()) {
      return Either.left(timeout.getLeft());
    }
    Either<ErrorReport, Boolean> idempotent = idempotent(request);
    if (idempotent.isLeft()) {
      return Either.left(idempotent.getLeft());
    }
    String idempotencyKey = request.getHeader(HeaderNames.IDEMPOTENCY_KEY);
    if (idempotencyKey != null && !Identifiers.isValid(idempotencyKey)) {
      return Either.left(
          guard.malformed("Idempotency-Key", idempotencyKey, "is not 1 to 200 characters"));
    }
    return Either.right(
        new CallerRequest(
            new ServiceId(service),
            Optional.ofNullable(request.getHeader(HeaderNames.KEY)),
            request.getMethod().name(),
            path.remainderAfter(PARTS_BEFORE_REMAINDER),
            passedOn(request),
            new byte[0],
            timeout.get(),
            idempotent.get(),
            Optional.ofNullable(idempotencyKey).map(IdempotencyKey::new)));
  }

  private Either<ErrorReport, Long> timeout(HttpRequest request, long maximumMilliseconds) {
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
      // Reported below like a number out of range.
    }
    return Either.left(
        guard.malformed(HeaderNames.TIMEOUT.toString(), text, "is not a positive number"));
  }

  private Either<ErrorReport, Boolean> idempotent(HttpRequest request) {
    String text = request.getHeader(HeaderNames.IDEMPOTENT);
    if (text == null) {
      return Either.right(IDEMPOTENT_METHODS.contains(request.getMethod()));
    }
    return switch (text.strip()) {
      case "true" -> Either.right(true);
      case "false" -> Either.right(false);
      default ->
          Either.left(
              guard.malformed(HeaderNames.IDEMPOTENT.toString(), text, "is not true or false"));
    };
  }

  /** Returns the headers for the endpoint: none of the connection and none of this system. */
  private static List<HeaderField> passedOn(HttpRequest request) {
    List<HeaderField> kept = ConnectionHeaders.without(InputGuard.headersOf(request));
    kept.removeIf(CallerRequestReader::isInternal);
    return kept;
  }

  private static boolean isInternal(HeaderField header) {
    String name = header.name().toLowerCase(Locale.ROOT);
    boolean decompressed =
        name.equals("content-encoding") && header.value().strip().equalsIgnoreCase("gzip");
    return decompressed || name.startsWith(HeaderNames.PREFIX);
  }
}
