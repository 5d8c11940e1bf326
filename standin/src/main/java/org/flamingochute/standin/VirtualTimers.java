package org.flamingochute.standin;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.flamingochute.platform.Timers;

/**
 * A clock that moves only when told to, and runs what comes due on the way, in the order of time
 * and then of scheduling. For tests that give the same result each time; not thread-safe.
 */
public final class VirtualTimers implements Timers {

  private static final long START_MILLISECONDS = 1_000_000;

  private final PriorityQueue<Scheduled> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(Scheduled::atMilliseconds).thenComparing(Scheduled::order));
  private long now = START_MILLISECONDS;
  private long order;

  private record Scheduled(long atMilliseconds, long order, Runnable task) {}

  @Override
  public long wallMilliseconds() {
    return now;
  }

  @Override
  public long monotonicMilliseconds() {
    return now;
  }

  @Override
  public Cancellation schedule(Duration delay, Runnable task) {
    Scheduled scheduled = new Scheduled(now + delay.toMillis(), order++, task);
    queue.add(scheduled);
    return () -> queue.remove(scheduled);
  }

  /** Moves the clock on by a time in milliseconds and runs what comes due. */
  public void advance(long milliseconds) {
    long end = now + milliseconds;
    while (!queue.isEmpty() && queue.peek().atMilliseconds() <= end) {
      Scheduled next = queue.poll();
      now = Math.max(now, next.atMilliseconds());
      next.task().run();
    }
    now = end;
  }
}
