package org.flamingochute.entry.metrics;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metered;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Converts a metric registry into a JSON object with one member per metric, sorted by name.
 *
 * <p>A counter or gauge is a number or a string, for example {@code "http.malformed": 3}. A meter
 * is an object with {@code count} and {@code rate_1m} in events per second; a histogram has {@code
 * count} and quantiles; a timer has all of these, with quantiles in milliseconds.
 */
public final class MetricsReport {
  private static final double NANOSECONDS_PER_MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

  private MetricsReport() {}

  /** Returns the report of a registry. */
  public static Struct of(MetricRegistry registry) {
    Struct.Builder report = Struct.newBuilder();
    for (Map.Entry<String, Metric> entry : new TreeMap<>(registry.getMetrics()).entrySet()) {
      report.putFields(entry.getKey(), toValue(entry.getValue()));
    }
    return report.build();
  }

  private static Value toValue(Metric metric) {
    if (metric instanceof Gauge<?> gauge) {
      return toValue(gauge);
    }
    Struct.Builder fields = Struct.newBuilder();
    if (metric instanceof Metered metered) {
      fields.putFields("rate_1m", numberValue(metered.getOneMinuteRate()));
    }
    if (metric instanceof Sampling sampling) {
      double divisor = metric instanceof Timer ? NANOSECONDS_PER_MILLISECOND : 1;
      putQuantiles(fields, sampling.getSnapshot(), divisor);
    }
    if (!(metric instanceof Counting counting)) {
      return Value.newBuilder().setStructValue(fields).build();
    }
    if (fields.getFieldsCount() == 0) {
      return numberValue(counting.getCount());
    }
    fields.putFields("count", numberValue(counting.getCount()));
    return Value.newBuilder().setStructValue(fields).build();
  }

  private static Value toValue(Gauge<?> gauge) {
    Object value = gauge.getValue();
    if (value instanceof Number number && Double.isFinite(number.doubleValue())) {
      return numberValue(number.doubleValue());
    }
    return Value.newBuilder().setStringValue(String.valueOf(value)).build();
  }

  private static void putQuantiles(Struct.Builder fields, Snapshot snapshot, double divisor) {
    fields.putFields("p50", numberValue(snapshot.getMedian() / divisor));
    fields.putFields("p95", numberValue(snapshot.get95thPercentile() / divisor));
    fields.putFields("p99", numberValue(snapshot.get99thPercentile() / divisor));
    fields.putFields("maximum", numberValue(snapshot.getMax() / divisor));
  }

  private static Value numberValue(double value) {
    return Value.newBuilder().setNumberValue(value).build();
  }
}
