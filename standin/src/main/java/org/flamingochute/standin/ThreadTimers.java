package org.flamingochute.standin;

import java.time.Duration;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.flamingochute.platform.Timers;

/** Real time; scheduled tasks run on a daemon thread and must not block. */
public final class ThreadTimers implements Timers {

  private final ScheduledThreadPoolExecutor executor;

  /** Starts the thread. */
  public ThreadTimers() {
    executor = new ScheduledThreadPoolExecutor(1, ThreadTimers::createThread);
    executor.setRemoveOnCancelPolicy(true);
  }

  private static Thread createThread(Runnable task) {
    Thread thread = new Thread(task, "timers");
    thread.setDaemon(true);
    return thread;
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
    var scheduled = executor.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    return () -> scheduled.cancel(false);
  }
}
