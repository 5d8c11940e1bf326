package org.flamingochute.entry.http;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

/** Metrics of the HTTP server. */
final class HttpServerMetrics {
  private final MetricRegistry registry;
  private final Counter malformed;
  private final Counter refusedConnections;
  private final Counter failures;
  private final Timer requestTime;

  HttpServerMetrics(MetricRegistry registry) {
    this.registry = registry;
    this.malformed = registry.counter("http.malformed");
    this.refusedConnections = registry.counter("http.refused_connections");
    this.failures = registry.counter("http.failures");
    this.requestTime = registry.timer("http.service_request_time");
  }

  /** Returns the counter of requests rejected as malformed, truncated or too large. */
  Counter malformed() {
    return malformed;
  }

  /** Returns the counter of connections refused because of the connection limit. */
  Counter refusedConnections() {
    return refusedConnections;
  }

  /** Returns the counter of exceptions thrown while serving requests. */
  Counter failures() {
    return failures;
  }

  /** Returns the timer of service requests, from the parsed headers to the outcome. */
  Timer requestTime() {
    return requestTime;
  }

  /** Returns the counter of service requests with an outcome. */
  Counter outcome(OutcomeName outcome) {
    return registry.counter("http.outcome." + outcome.text().replace('-', '_'));
  }
}
