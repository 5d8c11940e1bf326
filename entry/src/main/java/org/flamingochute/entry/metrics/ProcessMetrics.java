package org.flamingochute.entry.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.management.RuntimeMXBean;
import java.lang.management.ThreadMXBean;

/** Metrics of the Java process. */
public final class ProcessMetrics {
  private final Counter uncaughtExceptions;

  /** Registers the metrics. */
  public ProcessMetrics(MetricRegistry registry) {
    uncaughtExceptions = registry.counter("process.uncaught_exceptions");
    MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    RuntimeMXBean runtime = ManagementFactory.getRuntimeMXBean();
    Gauge<Long> heap = () -> memory.getHeapMemoryUsage().getUsed();
    Gauge<Long> nonHeap = () -> memory.getNonHeapMemoryUsage().getUsed();
    Gauge<Integer> threadCount = threads::getThreadCount;
    Gauge<Long> uptime = runtime::getUptime;
    registry.gauge("process.heap_bytes", () -> heap);
    registry.gauge("process.non_heap_bytes", () -> nonHeap);
    registry.gauge("process.threads", () -> threadCount);
    registry.gauge("process.uptime_milliseconds", () -> uptime);
  }

  /** Returns the counter of uncaught exceptions. */
  public Counter uncaughtExceptions() {
    return uncaughtExceptions;
  }
}
