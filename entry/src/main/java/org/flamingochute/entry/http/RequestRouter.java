package org.flamingochute.entry.http;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.vavr.control.Either;
import java.util.Map;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;

/** Chooses the group of routes by the first part of the path, and answers what goes wrong in it. */
final class RequestRouter implements AsyncServlet {
  private final InputGuard guard;
  private final Map<String, RouteGroup> groups;
  private volatile boolean closing;

  RequestRouter(InputGuard guard, Map<String, RouteGroup> groups) {
    this.guard = guard;
    this.groups = Map.copyOf(groups);
  }

  /** Asks callers from now on to close their connections, so that none has to be cut. */
  void beginClosing() {
    closing = true;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request) {
    if (CallerConnection.isEnding(request)) {
      ErrorReport report = ErrorReport.of(ErrorCode.CONNECTION_ENDING);
      return Promise.of(Answers.closing(Answers.error(report, OutcomeName.NOT_RUN)));
    }
    if (guard.isEndAmbiguous(request)) {
      CallerConnection.endWithAnswer(request);
      ErrorReport report = guard.malformed("headers", "", "the end of the body is ambiguous");
      return Promise.of(Answers.closing(Answers.error(report, OutcomeName.NOT_RUN)));
    }
    return route(request).map(answer -> closing ? lastAnswer(request, answer) : answer);
  }

  private static HttpResponse lastAnswer(HttpRequest request, HttpResponse answer) {
    CallerConnection.endWithAnswer(request);
    return Answers.closing(answer);
  }

  private Promise<HttpResponse> route(HttpRequest request) {
    RequestPath path = new RequestPath(request.getPathAndQuery());
    RouteGroup group = groups.get(path.rawPart(0));
    if (group == null) {
      return Promise.of(
          Answers.error(ErrorReport.of(ErrorCode.PATH_UNKNOWN, path), OutcomeName.NOT_RUN));
    }
    Either<ErrorReport, Void> headers = guard.checkHeaders(request);
    if (headers.isLeft()) {
      return Promise.of(Answers.error(headers.getLeft(), OutcomeName.NOT_RUN));
    }
    try {
      return group.serve(request, path).then(this::orFailure);
    } catch (RuntimeException e) {
      return Promise.of(guard.failed(e));
    }
  }

  private Promise<HttpResponse> orFailure(HttpResponse response, Exception error) {
    return Promise.of(error == null ? response : guard.failed(error));
  }
}
