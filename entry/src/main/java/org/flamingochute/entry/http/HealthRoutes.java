package org.flamingochute.entry.http;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.engine.EntryNode;

/**
 * Health of the process: {@code /health/live} as long as it answers, {@code /health/ready} while it
 * takes new work.
 */
final class HealthRoutes implements RouteGroup {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final NodeReference node;

  HealthRoutes(NodeReference node) {
    this.node = node;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request, RequestPath path) {
    return switch (path.toString()) {
      case "/health/live" -> Promise.of(Answers.text(OK, "live\n"));
      case "/health/ready" -> Promise.of(ready());
      default ->
          Promise.of(Answers.error(ErrorReport.of(ErrorCode.PATH_UNKNOWN, path), OutcomeName.NONE));
    };
  }

  private HttpResponse ready() {
    boolean ready = node.get().map(EntryNode::isReady).orElse(false);
    return ready ? Answers.text(OK, "ready\n") : Answers.text(UNAVAILABLE, "not ready\n");
  }
}
