package org.flamingochute.entry.http;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.vavr.control.Either;
import java.util.Map;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;

/** Dispatches requests by the first path segment and converts exceptions to error responses. */
final class RequestRouter implements AsyncServlet {
  private final RequestValidator validator;
  private final Map<String, RouteGroup> groups;
  private volatile boolean closing;

  RequestRouter(RequestValidator validator, Map<String, RouteGroup> groups) {
    this.validator = validator;
    this.groups = Map.copyOf(groups);
  }

  /**
   * Adds {@code Connection: close} to all later responses and closes each connection after its next
   * response, so that no connection has to be closed during a request.
   */
  void beginClosing() {
    closing = true;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request) {
    if (CallerConnection.isClosing(request)) {
      ErrorReport report = ErrorReport.of(ErrorCode.CONNECTION_ENDING);
      return Promise.of(
          HttpResponses.withConnectionClose(
              HttpResponses.errorResponse(report, OutcomeName.NOT_RUN)));
    }
    if (validator.hasAmbiguousBodyLength(request)) {
      CallerConnection.closeAfterResponse(request);
      ErrorReport report =
          validator.reportMalformed("headers", "", "the length of the body is ambiguous");
      return Promise.of(
          HttpResponses.withConnectionClose(
              HttpResponses.errorResponse(report, OutcomeName.NOT_RUN)));
    }
    return route(request)
        .map(response -> closing ? closeAfterResponse(request, response) : response);
  }

  private static HttpResponse closeAfterResponse(HttpRequest request, HttpResponse response) {
    CallerConnection.closeAfterResponse(request);
    return HttpResponses.withConnectionClose(response);
  }

  private Promise<HttpResponse> route(HttpRequest request) {
    RequestPath path = new RequestPath(request.getPathAndQuery());
    RouteGroup group = groups.get(path.rawSegment(0));
    if (group == null) {
      return Promise.of(
          HttpResponses.errorResponse(
              ErrorReport.of(ErrorCode.PATH_UNKNOWN, path), OutcomeName.NOT_RUN));
    }
    Either<ErrorReport, Void> headers = validator.checkHeaders(request);
    if (headers.isLeft()) {
      return Promise.of(HttpResponses.errorResponse(headers.getLeft(), OutcomeName.NOT_RUN));
    }
    try {
      return group.serve(request, path).then(this::responseOrInternalError);
    } catch (RuntimeException e) {
      return Promise.of(validator.internalErrorResponse(e));
    }
  }

  private Promise<HttpResponse> responseOrInternalError(HttpResponse response, Exception error) {
    return Promise.of(error == null ? response : validator.internalErrorResponse(error));
  }
}
