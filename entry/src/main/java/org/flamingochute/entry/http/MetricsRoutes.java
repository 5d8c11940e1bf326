package org.flamingochute.entry.http;

import com.codahale.metrics.MetricRegistry;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import org.flamingochute.entry.metrics.MetricsReport;

/** Route {@code /metrics}, which returns the metrics as JSON. */
final class MetricsRoutes implements RouteGroup {
  private static final int OK = 200;

  private final MetricRegistry registry;

  MetricsRoutes(MetricRegistry registry) {
    this.registry = registry;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request, RequestPath path) {
    return Promise.of(HttpResponses.jsonResponse(OK, MetricsReport.of(registry)));
  }
}
