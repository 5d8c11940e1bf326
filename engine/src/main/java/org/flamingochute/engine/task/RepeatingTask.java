package org.flamingochute.engine.task;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.flamingochute.platform.Timers;

/**
 * Runs a task repeatedly, with an interval between the end of one run and the start of the next.
 *
 * <p>A failed run is logged and counted, and the next run is scheduled as usual, so that one
 * malformed input cannot disable a component of the node.
 */
public final class RepeatingTask {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final String name;
  private final Timers timers;
  private final Duration interval;
  private final Supplier<CompletableFuture<?>> task;
  private final MetricRegistry metrics;
  private volatile boolean running;

  /**
   * Creates a task that is not started.
   *
   * @param name name in log events
   * @param task starts a run; the future completes when the run has ended
   */
  public RepeatingTask(
      String name,
      Timers timers,
      Duration interval,
      Supplier<CompletableFuture<?>> task,
      MetricRegistry metrics) {
    this.name = name;
    this.timers = timers;
    this.interval = interval;
    this.task = task;
    this.metrics = metrics;
  }

  /** Creates a task whose runs end when the method returns. */
  public static RepeatingTask of(
      String name, Timers timers, Duration interval, Runnable task, MetricRegistry metrics) {
    return new RepeatingTask(
        name,
        timers,
        interval,
        () -> {
          task.run();
          return CompletableFuture.completedFuture(null);
        },
        metrics);
  }

  /** Starts the first run immediately. */
  public void start() {
    running = true;
    run();
  }

  /** Prevents further runs. */
  public void stop() {
    running = false;
  }

  /** Returns whether further runs will follow. */
  public boolean isRunning() {
    return running;
  }

  private void run() {
    if (!running) {
      return;
    }
    startRun().whenComplete((result, failure) -> finishRun(failure));
  }

  private CompletableFuture<?> startRun() {
    try {
      return task.get();
    } catch (RuntimeException failure) {
      return CompletableFuture.failedFuture(failure);
    }
  }

  private void finishRun(Throwable failure) {
    if (failure != null) {
      metrics.counter("tasks.failed").inc();
      logger.atSevere().withCause(failure).log("event=task_failed task=%s", name);
    }
    timers.schedule(interval, this::run);
  }
}
