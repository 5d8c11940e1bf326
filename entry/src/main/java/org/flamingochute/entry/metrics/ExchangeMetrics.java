package org.flamingochute.entry.metrics;

import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import org.flamingochute.platform.http.ExchangeListener;
import org.flamingochute.platform.http.ExchangeResult;

/**
 * Counts the outcomes of the HTTP requests that this process sends to the platform and to
 * endpoints.
 */
public final class ExchangeMetrics implements ExchangeListener {
  private final MetricRegistry registry;
  private final String prefix;

  /**
   * Creates a listener.
   *
   * @param registry registry of the counters
   * @param prefix prefix of the metric names, for example {@code endpoint}
   */
  public ExchangeMetrics(MetricRegistry registry, String prefix) {
    this.registry = registry;
    this.prefix = prefix;
  }

  @Override
  public void exchangeEnded(String address, ExchangeResult result) {
    registry.counter(prefix + "." + metricName(result)).inc();
  }

  private static String metricName(ExchangeResult result) {
    return switch (result) {
      case ExchangeResult.Answered answered -> "answered";
      case ExchangeResult.NotRun notRun -> notRun.busy() ? "not_run_busy" : "not_run";
      case ExchangeResult.Unknown unknown ->
          "unknown_" + unknown.cause().name().toLowerCase(Locale.ROOT);
    };
  }
}
