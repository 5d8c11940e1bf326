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
import org.flamingochute.platform.http.ConnectionHeaders;

/** Requests to services: {@code /services/{service}/{path}}. */
final class ServiceRoutes implements RouteGroup {
  private static final long DEFAULT_MAXIMUM_MILLISECONDS = 30_000;

  private final NodeReference node;
  private final InputGuard guard;
  private final CallerRequestReader reader;
  private final FrontMetrics metrics;

  ServiceRoutes(NodeReference node, InputGuard guard, FrontMetrics metrics) {
    this.node = node;
    this.guard = guard;
    this.reader = new CallerRequestReader(guard);
    this.metrics = metrics;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request, RequestPath path) {
    EntryNode target = node.get().orElse(null);
    if (target == null) {
      return refused(ErrorReport.of(ErrorCode.ENTRY_STARTING));
    }
    Either<ErrorReport, CallerRequest> read = reader.read(request, path, maximum(target));
    if (read.isLeft()) {
      return refused(read.getLeft());
    }
    Timer.Context time = metrics.requestTime().time();
    return guard
        .body(request)
        .then(body -> body.isLeft() ? refused(body.getLeft()) : run(target, read.get(), body.get()))
        .whenComplete(time::stop);
  }

  private static long maximum(EntryNode target) {
    long configured = target.agreed().description().getFleet().getMaximumRequestMilliseconds();
    return configured > 0 ? configured : DEFAULT_MAXIMUM_MILLISECONDS;
  }

  private Promise<HttpResponse> run(EntryNode target, CallerRequest head, byte[] body) {
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
    return Promise.ofCompletionStage(target.request(request)).map(this::answerOf);
  }

  private HttpResponse answerOf(CallerOutcome outcome) {
    return switch (outcome) {
      case CallerOutcome.Answered answered -> answered(answered);
      case CallerOutcome.NotRun notRun -> error(notRun.report(), OutcomeName.NOT_RUN);
      case CallerOutcome.Unknown unknown -> {
        metrics.outcome(OutcomeName.UNKNOWN).inc();
        yield Answers.error(ErrorStatus.UNKNOWN_OUTCOME, unknown.report(), OutcomeName.UNKNOWN);
      }
    };
  }

  private HttpResponse answered(CallerOutcome.Answered answered) {
    metrics.outcome(OutcomeName.ANSWERED).inc();
    HttpResponse.Builder builder = HttpResponse.ofCode(answered.status());
    for (HeaderField header : ConnectionHeaders.without(answered.headers())) {
      if (!header.name().toLowerCase(Locale.ROOT).startsWith(HeaderNames.PREFIX)) {
        builder.withHeader(HttpHeaders.of(header.name()), header.value());
      }
    }
    builder.withHeader(HeaderNames.OUTCOME, OutcomeName.ANSWERED.text());
    if (answered.body().length > 0) {
      builder.withBody(answered.body());
    }
    return builder.build();
  }

  private Promise<HttpResponse> refused(ErrorReport report) {
    return Promise.of(error(report, OutcomeName.NOT_RUN));
  }

  private HttpResponse error(ErrorReport report, OutcomeName outcome) {
    metrics.outcome(outcome).inc();
    return Answers.error(report, outcome);
  }
}
