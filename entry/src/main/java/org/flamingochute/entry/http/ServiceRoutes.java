package org.flamingochute.entry.http;

import com.codahale.metrics.Timer;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.vavr.control.Either;
import java.util.Locale;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.engine.CallerOutcome;
import org.flamingochute.engine.CallerRequest;
import org.flamingochute.engine.EntryNode;
import org.flamingochute.platform.HeaderField;
import org.flamingochute.platform.http.HopByHopHeaders;

/** Route of requests to services: {@code /services/{service}/{path}}. */
final class ServiceRoutes implements RouteGroup {
  private static final long DEFAULT_MAXIMUM_REQUEST_MILLISECONDS = 30_000;

  private final NodeReference node;
  private final RequestValidator validator;
  private final CallerRequestReader reader;
  private final HttpServerMetrics metrics;

  ServiceRoutes(NodeReference node, RequestValidator validator, HttpServerMetrics metrics) {
    this.node = node;
    this.validator = validator;
    this.reader = new CallerRequestReader(validator);
    this.metrics = metrics;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request, RequestPath path) {
    EntryNode target = node.get().orElse(null);
    if (target == null) {
      return notRunPromise(ErrorReport.of(ErrorCode.ENTRY_STARTING));
    }
    Either<ErrorReport, CallerRequest> head =
        reader.read(request, path, maximumRequestMilliseconds(target));
    if (head.isLeft()) {
      return notRunPromise(head.getLeft());
    }
    Timer.Context timerContext = metrics.requestTime().time();
    return validator
        .readBody(request)
        .then(
            body ->
                body.isLeft()
                    ? notRunPromise(body.getLeft())
                    : runRequest(target, head.get(), body.get()))
        .whenComplete(timerContext::stop);
  }

  private static long maximumRequestMilliseconds(EntryNode target) {
    long configured = target.agreed().description().getFleet().getMaximumRequestMilliseconds();
    return configured > 0 ? configured : DEFAULT_MAXIMUM_REQUEST_MILLISECONDS;
  }

  private Promise<HttpResponse> runRequest(EntryNode target, CallerRequest head, byte[] body) {
    CallerRequest request =
        new CallerRequest(
            head.service(),
            head.key(),
            head.method(),
            head.path(),
            head.headers(),
            body,
            head.timeoutMilliseconds(),
            head.idempotent(),
            head.idempotencyKey());
    return Promise.ofCompletionStage(target.request(request)).map(this::toResponse);
  }

  private HttpResponse toResponse(CallerOutcome outcome) {
    return switch (outcome) {
      case CallerOutcome.Answered answered -> answeredResponse(answered);
      case CallerOutcome.NotRun notRun -> errorResponse(notRun.report(), OutcomeName.NOT_RUN);
      case CallerOutcome.Unknown unknown -> {
        metrics.outcome(OutcomeName.UNKNOWN).inc();
        yield HttpResponses.errorResponse(
            ErrorStatus.GATEWAY_TIMEOUT, unknown.report(), OutcomeName.UNKNOWN);
      }
    };
  }

  private HttpResponse answeredResponse(CallerOutcome.Answered answered) {
    metrics.outcome(OutcomeName.ANSWERED).inc();
    HttpResponse.Builder builder = HttpResponse.ofCode(answered.status());
    for (HeaderField header : HopByHopHeaders.removeFrom(answered.headers())) {
      if (!header.name().toLowerCase(Locale.ROOT).startsWith(HeaderNames.LOWER_CASE_PREFIX)) {
        builder.withHeader(HttpHeaders.of(header.name()), header.value());
      }
    }
    builder.withHeader(HeaderNames.OUTCOME, OutcomeName.ANSWERED.text());
    if (answered.body().length > 0) {
      builder.withBody(answered.body());
    }
    return builder.build();
  }

  private Promise<HttpResponse> notRunPromise(ErrorReport report) {
    return Promise.of(errorResponse(report, OutcomeName.NOT_RUN));
  }

  private HttpResponse errorResponse(ErrorReport report, OutcomeName outcome) {
    metrics.outcome(outcome).inc();
    return HttpResponses.errorResponse(report, outcome);
  }
}
