package org.flamingochute.standin;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.flamingochute.platform.Timers;

/**
 * A virtual clock for deterministic tests. It advances only on request and runs the tasks that
 * become due, ordered by time and then by scheduling order. Not thread-safe.
 */
public final class VirtualTimers implements Timers {

  private static final long START_MILLISECONDS = 1_000_000;

  private final PriorityQueue<Scheduled> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(Scheduled::atMilliseconds).thenComparing(Scheduled::order));
  private long nowMilliseconds = START_MILLISECONDS;
  private long nextOrder;

  private record Scheduled(long atMilliseconds, long order, Runnable task) {}

  @Override
  public long wallMilliseconds() {
    return nowMilliseconds;
  }

  @Override
  public long monotonicMilliseconds() {
    return nowMilliseconds;
  }

  @Override
  public Cancellation schedule(Duration delay, Runnable task) {
    Scheduled scheduled = new Scheduled(nowMilliseconds + delay.toMillis(), nextOrder++, task);
    queue.add(scheduled);
    return () -> queue.remove(scheduled);
  }

  /** Advances the clock by a time in milliseconds and runs the tasks that become due. */
  public void advance(long milliseconds) {
    long end = nowMilliseconds + milliseconds;
    while (!queue.isEmpty() && queue.peek().atMilliseconds() <= end) {
      Scheduled next = queue.poll();
      nowMilliseconds = Math.max(nowMilliseconds, next.atMilliseconds());
      next.task().run();
    }
    nowMilliseconds = end;
  }
}
