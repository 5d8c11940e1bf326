package org.flamingochute.node;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Counters and latency histograms of the process, with their text format. */
public final class NodeMetrics {
  private static final double NANOSECONDS_PER_MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

  private final MetricRegistry registry = new MetricRegistry();

  /** Returns the registry of all metrics. */
  public MetricRegistry registry() {
    return registry;
  }

  /** Records the status and latency of a response to a caller. */
  public void recordResponse(String method, int status, long milliseconds) {
    registry.counter("front." + method + "." + status).inc();
    registry.timer("front." + method).update(milliseconds, TimeUnit.MILLISECONDS);
  }

  /** Returns one line per metric: name, space and value. Latencies are in milliseconds. */
  public String toText() {
    StringBuilder text = new StringBuilder();
    for (Map.Entry<String, Metric> entry : new TreeMap<>(registry.getMetrics()).entrySet()) {
      append(text, entry.getKey(), entry.getValue());
    }
    return text.toString();
  }

  private static void append(StringBuilder text, String name, Metric metric) {
    if (metric instanceof Counter counter) {
      text.append(name).append(' ').append(counter.getCount()).append('\n');
    } else if (metric instanceof Gauge<?> gauge) {
      text.append(name).append(' ').append(gauge.getValue()).append('\n');
    } else if (metric instanceof Timer timer) {
      text.append(name).append(".count ").append(timer.getCount()).append('\n');
      Snapshot snapshot = timer.getSnapshot();
      appendQuantile(text, name + ".p50_ms", snapshot.getMedian());
      appendQuantile(text, name + ".p99_ms", snapshot.get99thPercentile());
      appendQuantile(text, name + ".max_ms", snapshot.getMax());
    }
  }

  private static void appendQuantile(StringBuilder text, String name, double nanoseconds) {
    text.append(name)
        .append(' ')
        .append(String.format(Locale.ROOT, "%.1f", nanoseconds / NANOSECONDS_PER_MILLISECOND))
        .append('\n');
  }
}
