package org.flamingochute.engine.fake;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.flamingochute.platform.Timers;

/** A virtual clock; tasks run in the order of their due times, then of their scheduling. */
public final class VirtualTimers implements Timers {

  private static final long WALL_OFFSET_MILLISECONDS = 1_800_000_000_000L;

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(
          Comparator.comparingLong(Task::dueMilliseconds).thenComparingLong(Task::sequence));
  private long nowMilliseconds;
  private long nextSequence;

  @Override
  public long wallMilliseconds() {
    return WALL_OFFSET_MILLISECONDS + nowMilliseconds;
  }

  @Override
  public long monotonicMilliseconds() {
    return nowMilliseconds;
  }

  @Override
  public Cancellation schedule(Duration delay, Runnable task) {
    Task scheduled =
        new Task(nowMilliseconds + Math.max(0, delay.toMillis()), nextSequence++, task);
    tasks.add(scheduled);
    return () -> tasks.remove(scheduled);
  }

  /** Advances the clock and runs all tasks that become due. */
  public void advance(long milliseconds) {
    long end = nowMilliseconds + milliseconds;
    while (!tasks.isEmpty() && tasks.peek().dueMilliseconds() <= end) {
      Task next = tasks.poll();
      nowMilliseconds = next.dueMilliseconds();
      next.task().run();
    }
    nowMilliseconds = end;
  }

  private record Task(long dueMilliseconds, long sequence, Runnable task) {}
}
