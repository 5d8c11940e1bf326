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

/** Routes for operators, below {@code /operator}. */
final class OperatorRoutes implements RouteGroup {
  private static final int OK = 200;

  private final NodeReference node;
  private final RequestValidator validator;
  private final JsonBodyReader bodyReader;
  private final Function<FleetDescription, String> formatter;

  /**
   * Creates the routes.
   *
   * @param formatter formats a description as INI text
   */
  OperatorRoutes(
      NodeReference node,
      RequestValidator validator,
      Function<FleetDescription, String> formatter) {
    this.node = node;
    this.validator = validator;
    this.bodyReader = new JsonBodyReader(validator);
    this.formatter = formatter;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request, RequestPath path) {
    EntryNode target = node.get().orElse(null);
    if (target == null) {
      return errorPromise(ErrorReport.of(ErrorCode.ENTRY_STARTING));
    }
    String operator = request.getHeader(HeaderNames.OPERATOR);
    String operatorKey = request.getHeader(HeaderNames.OPERATOR_KEY);
    if (operator == null || operatorKey == null) {
      return errorPromise(ErrorReport.of(ErrorCode.OPERATOR_UNKNOWN, operator));
    }
    String route = request.getMethod() + " " + path;
    if (route.equals("POST /operator/patches")) {
      return applyPatch(target, operator, operatorKey, request);
    }
    Either<ErrorReport, Void> authorized = target.authorizeOperator(operator, operatorKey);
    if (authorized.isLeft()) {
      return errorPromise(authorized.getLeft());
    }
    return switch (route) {
      case "GET /operator/description" -> Promise.of(showDescription(target, request));
      case "GET /operator/history" -> Promise.of(showHistory(target));
      case "GET /operator/status" -> Promise.of(HttpResponses.jsonResponse(OK, target.status()));
      default -> errorPromise(routeError(request, path));
    };
  }

  private static ErrorReport routeError(HttpRequest request, RequestPath path) {
    return switch (path.toString()) {
      case "/operator/description", "/operator/history", "/operator/status", "/operator/patches" ->
          ErrorReport.of(ErrorCode.METHOD_NOT_ALLOWED, request.getMethod(), path);
      default -> ErrorReport.of(ErrorCode.PATH_UNKNOWN, path);
    };
  }

  private HttpResponse showDescription(EntryNode target, HttpRequest request) {
    FleetDescription description = target.agreed().description();
    String format = request.getQueryParameter("format");
    if (format == null || format.equals("ini")) {
      return HttpResponses.textBuilder(OK, formatter.apply(description))
          .withHeader(HeaderNames.VERSION, Long.toString(description.getVersion()))
          .build();
    }
    if (format.equals("json")) {
      return HttpResponses.jsonResponse(OK, description);
    }
    return HttpResponses.errorResponse(
        validator.reportMalformed("format", format, "is not ini or json"), OutcomeName.NONE);
  }

  private static HttpResponse showHistory(EntryNode target) {
    return HttpResponses.jsonResponse(
        OK, HistoryReport.newBuilder().addAllEntries(target.agreed().audit()).build());
  }

  private Promise<HttpResponse> applyPatch(
      EntryNode target, String operator, String operatorKey, HttpRequest request) {
    return bodyReader
        .read(request, FleetPatch.newBuilder(), FleetPatch.class)
        .then(
            body -> {
              if (body.isLeft()) {
                return errorPromise(body.getLeft());
              }
              FleetPatch patch = body.get().toBuilder().setOperatorName(operator).build();
              return Promise.ofCompletionStage(target.patch(operatorKey, patch))
                  .map(
                      result ->
                          result.fold(
                              report -> HttpResponses.errorResponse(report, OutcomeName.NONE),
                              OperatorRoutes::auditEntryResponse));
            });
  }

  private static HttpResponse auditEntryResponse(AuditEntry entry) {
    if (entry.getAccepted()) {
      return HttpResponses.jsonResponse(OK, entry);
    }
    boolean isStaleBase = entry.getResult().contains("FC-" + ErrorCode.PATCH_STALE_BASE.number());
    return HttpResponses.jsonResponse(
        isStaleBase ? ErrorStatus.CONFLICT : ErrorStatus.UNPROCESSABLE_CONTENT, entry);
  }

  private static Promise<HttpResponse> errorPromise(ErrorReport report) {
    return Promise.of(HttpResponses.errorResponse(report, OutcomeName.NONE));
  }
}
