package org.flamingochute.engine.task;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.flamingochute.platform.Timers;

/**
 * Runs a task again and again, with an interval between the end of one run and the next.
 *
 * <p>A run that fails is logged and counted, and the next one comes as usual, so that one malformed
 * input can not end a part of the node.
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
   * Creates a task that has not yet begun.
   *
   * @param name name for the log
   * @param task begins a run; the future completes when it has ended
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

  /** Begins the first run at once. */
  public void start() {
    running = true;
    run();
  }

  /** Prevents further runs. */
  public void stop() {
    running = false;
  }

  /** Tells whether further runs come. */
  public boolean isRunning() {
    return running;
  }

  private void run() {
    if (!running) {
      return;
    }
    begin().whenComplete((result, failure) -> end(failure));
  }

  private CompletableFuture<?> begin() {
    try {
      return task.get();
    } catch (RuntimeException failure) {
      return CompletableFuture.failedFuture(failure);
    }
  }

  private void end(Throwable failure) {
    if (failure != null) {
      metrics.counter("tasks.failed").inc();
      logger.atSevere().withCause(failure).log("event=task_failed task=%s", name);
    }
    timers.schedule(interval, this::run);
  }
}
