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
 * Writes a metric registry as a JSON object with one member for each metric, in order of names.
 *
 * <p>A counter or gauge is a number (or a text), for example {@code "http.malformed": 3}. A meter
 * is an object with {@code count} and {@code rate_1m} per second; a histogram has {@code count} and
 * quantiles; a timer has all of these with quantiles in milliseconds.
 */
public final class MetricsReport {
  private static final double NANOSECONDS_PER_MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

  private MetricsReport() {}

  /** Returns the report on a registry. */
  public static Struct of(MetricRegistry registry) {
    Struct.Builder report = Struct.newBuilder();
    for (Map.Entry<String, Metric> entry : new TreeMap<>(registry.getMetrics()).entrySet()) {
      report.putFields(entry.getKey(), valueOf(entry.getValue()));
    }
    return report.build();
  }

  private static Value valueOf(Metric metric) {
    if (metric instanceof Gauge<?> gauge) {
      return valueOf(gauge);
    }
    Struct.Builder fields = Struct.newBuilder();
    if (metric instanceof Metered metered) {
      fields.putFields("rate_1m", number(metered.getOneMinuteRate()));
    }
    if (metric instanceof Sampling sampling) {
      double unit = metric instanceof Timer ? NANOSECONDS_PER_MILLISECOND : 1;
      putQuantiles(fields, sampling.getSnapshot(), unit);
    }
    if (!(metric instanceof Counting counting)) {
      return Value.newBuilder().setStructValue(fields).build();
    }
    if (fields.getFieldsCount() == 0) {
      return number(counting.getCount());
    }
    fields.putFields("count", number(counting.getCount()));
    return Value.newBuilder().setStructValue(fields).build();
  }

  private static Value valueOf(Gauge<?> gauge) {
    Object value = gauge.getValue();
    if (value instanceof Number number && Double.isFinite(number.doubleValue())) {
      return number(number.doubleValue());
    }
    return Value.newBuilder().setStringValue(String.valueOf(value)).build();
  }

  private static void putQuantiles(Struct.Builder fields, Snapshot snapshot, double unit) {
    fields.putFields("p50", number(snapshot.getMedian() / unit));
    fields.putFields("p95", number(snapshot.get95thPercentile() / unit));
    fields.putFields("p99", number(snapshot.get99thPercentile() / unit));
    fields.putFields("maximum", number(snapshot.getMax() / unit));
  }

  private static Value number(double value) {
    return Value.newBuilder().setNumberValue(value).build();
  }
}
