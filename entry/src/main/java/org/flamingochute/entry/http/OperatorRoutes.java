package org.flamingochute.entry.http;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.vavr.control.Either;
import java.util.function.Function;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.engine.EntryNode;
import org.flamingochute.schema.AuditEntry;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.FleetPatch;
import org.flamingochute.schema.HistoryReport;

/** The operators' interface below {@code /operator}. */
final class OperatorRoutes implements RouteGroup {
  private static final int OK = 200;

  private final NodeReference node;
  private final InputGuard guard;
  private final JsonBody bodies;
  private final Function<FleetDescription, String> formatter;

  /**
   * Creates the routes.
   *
   * @param formatter writes a description as INI text
   */
  OperatorRoutes(
      NodeReference node, InputGuard guard, Function<FleetDescription, String> formatter) {
    this.node = node;
    this.guard = guard;
    this.bodies = new JsonBody(guard);
    this.formatter = formatter;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request, RequestPath path) {
    EntryNode target = node.get().orElse(null);
    if (target == null) {
      return refused(ErrorReport.of(ErrorCode.ENTRY_STARTING));
    }
    String operator = request.getHeader(HeaderNames.OPERATOR);
    String operatorKey = request.getHeader(HeaderNames.OPERATOR_KEY);
    if (operator == null || operatorKey == null) {
      return refused(ErrorReport.of(ErrorCode.OPERATOR_UNKNOWN, operator));
    }
    String route = request.getMethod() + " " + path;
    if (route.equals("POST /operator/patches")) {
      return patch(target, operator, operatorKey, request);
    }
    Either<ErrorReport, Void> authorized = target.authorizeOperator(operator, operatorKey);
    if (authorized.isLeft()) {
      return refused(authorized.getLeft());
    }
    return switch (route) {
      case "GET /operator/description" -> Promise.of(description(target, request));
      case "GET /operator/history" -> Promise.of(history(target));
      case "GET /operator/status" -> Promise.of(Answers.json(OK, target.status()));
      default -> refused(unknownRoute(request, path));
    };
  }

  private static ErrorReport unknownRoute(HttpRequest request, RequestPath path) {
    return switch (path.toString()) {
      case "/operator/description", "/operator/history", "/operator/status", "/operator/patches" ->
          ErrorReport.of(ErrorCode.METHOD_NOT_ALLOWED, request.getMethod(), path);
      default -> ErrorReport.of(ErrorCode.PATH_UNKNOWN, path);
    };
  }

  private HttpResponse description(EntryNode target, HttpRequest request) {
    FleetDescription description = target.agreed().description();
    String format = request.getQueryParameter("format");
    if (format == null || format.equals("ini")) {
      return Answers.textBuilder(OK, formatter.apply(description))
          .withHeader(HeaderNames.VERSION, Long.toString(description.getVersion()))
          .build();
    }
    if (format.equals("json")) {
      return Answers.json(OK, description);
    }
    return Answers.error(guard.malformed("format", format, "is not ini or json"), OutcomeName.NONE);
  }

  private static HttpResponse history(EntryNode target) {
    return Answers.json(
        OK, HistoryReport.newBuilder().addAllEntries(target.agreed().audit()).build());
  }

  private Promise<HttpResponse> patch(
      EntryNode target, String operator, String operatorKey, HttpRequest request) {
    return bodies
        .read(request, FleetPatch.newBuilder(), FleetPatch.class)
        .then(
            body -> {
              if (body.isLeft()) {
                return refused(body.getLeft());
              }
              FleetPatch patch = body.get().toBuilder().setOperatorName(operator).build();
              return Promise.ofCompletionStage(target.patch(operatorKey, patch))
                  .map(
                      result ->
                          result.fold(
                              report -> Answers.error(report, OutcomeName.NONE),
                              OperatorRoutes::audited));
            });
  }

  private static HttpResponse audited(AuditEntry entry) {
    if (entry.getAccepted()) {
      return Answers.json(OK, entry);
    }
    boolean stale = entry.getResult().contains("FC-" + ErrorCode.PATCH_STALE_BASE.number());
    return Answers.json(stale ? ErrorStatus.CONFLICT : ErrorStatus.INVALID, entry);
  }

  private static Promise<HttpResponse> refused(ErrorReport report) {
    return Promise.of(Answers.error(report, OutcomeName.NONE));
  }
}
