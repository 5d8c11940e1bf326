package org.flamingochute.entry;

import com.codahale.metrics.Counter;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.flamingochute.platform.Timers;

/** The clocks of the machine, and tasks on a few daemon threads. */
public final class RealTimers implements Timers, AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int THREADS = 2;

  private final ScheduledThreadPoolExecutor executor;
  private final Counter failures;

  /**
   * Starts the threads.
   *
   * @param failures counts tasks that threw an exception
   */
  public RealTimers(Counter failures) {
    this.failures = failures;
    AtomicInteger number = new AtomicInteger();
    this.executor =
        new ScheduledThreadPoolExecutor(
            THREADS,
            task -> {
              Thread thread = new Thread(task, "timer-" + number.getAndIncrement());
              thread.setDaemon(true);
              return thread;
            });
    executor.setRemoveOnCancelPolicy(true);
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  @Override
  public long wallMilliseconds() {
    return System.currentTimeMillis();
  }

  @Override
  public long monotonicMilliseconds() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  @Override
  public Cancellation schedule(Duration delay, Runnable task) {
    try {
      Future<?> future = executor.schedule(() -> run(task), delay.toNanos(), TimeUnit.NANOSECONDS);
      return () -> future.cancel(false);
    } catch (RejectedExecutionException e) {
      // The process is stopping, and the task would not run any more.
      return () -> {};
    }
  }

  private void run(Runnable task) {
    try {
      task.run();
    } catch (Throwable e) {
      failures.inc();
      logger.atSevere().withCause(e).log("event=uncaught_exception thread=timer");
    }
  }

  /** Drops the tasks that have not begun and ends the threads. */
  @Override
  public void close() {
    executor.shutdownNow();
  }
}
