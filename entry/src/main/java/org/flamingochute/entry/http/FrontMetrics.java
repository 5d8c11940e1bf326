package org.flamingochute.entry.http;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

/** Metrics of the HTTP interface. */
final class FrontMetrics {
  private final MetricRegistry registry;
  private final Counter malformed;
  private final Counter refusedConnections;
  private final Counter failures;
  private final Timer requestTime;

  FrontMetrics(MetricRegistry registry) {
    this.registry = registry;
    this.malformed = registry.counter("http.malformed");
    this.refusedConnections = registry.counter("http.refused_connections");
    this.failures = registry.counter("http.failures");
    this.requestTime = registry.timer("http.service_request_time");
  }

  /** Returns the counter of requests that were malformed. */
  Counter malformed() {
    return malformed;
  }

  /** Returns the counter of connections over the limit. */
  Counter refusedConnections() {
    return refusedConnections;
  }

  /** Returns the counter of exceptions while serving. */
  Counter failures() {
    return failures;
  }

  /** Returns the timer of requests to services, from the headers to the outcome. */
  Timer requestTime() {
    return requestTime;
  }

  /** Returns the counter of one outcome of requests to services. */
  Counter outcome(OutcomeName outcome) {
    return registry.counter("http.outcome." + outcome.text().replace('-', '_'));
  }
}
