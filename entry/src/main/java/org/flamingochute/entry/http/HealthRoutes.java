package org.flamingochute.entry.http;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.engine.EntryNode;

/**
 * Health checks: {@code /health/live} succeeds while the process runs, {@code /health/ready} while
 * it accepts new work.
 */
final class HealthRoutes implements RouteGroup {
  private static final int OK = 200;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final NodeReference node;

  HealthRoutes(NodeReference node) {
    this.node = node;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request, RequestPath path) {
    return switch (path.toString()) {
      case "/health/live" -> Promise.of(HttpResponses.textResponse(OK, "live\n"));
      case "/health/ready" -> Promise.of(readinessResponse());
      default ->
          Promise.of(
              HttpResponses.errorResponse(
                  ErrorReport.of(ErrorCode.PATH_UNKNOWN, path), OutcomeName.NONE));
    };
  }

  private HttpResponse readinessResponse() {
    boolean ready = node.get().map(EntryNode::isReady).orElse(false);
    return ready
        ? HttpResponses.textResponse(OK, "ready\n")
        : HttpResponses.textResponse(SERVICE_UNAVAILABLE, "not ready\n");
  }
}
