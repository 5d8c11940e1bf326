package org.flamingochute.engine.fake;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.flamingochute.platform.Timers;

/** A clock that moves only when it is told to; tasks run in order of time, then of scheduling. */
public final class VirtualTimers implements Timers {

  private static final long WALL_OFFSET_MILLISECONDS = 1_800_000_000_000L;

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::due).thenComparingLong(Task::sequence));
  private long now;
  private long sequence;

  @Override
  public long wallMilliseconds() {
    return WALL_OFFSET_MILLISECONDS + now;
  }

  @Override
  public long monotonicMilliseconds() {
    return now;
  }

  @Override
  public Cancellation schedule(Duration delay, Runnable task) {
    Task scheduled = new Task(now + Math.max(0, delay.toMillis()), sequence++, task);
    tasks.add(scheduled);
    return () -> tasks.remove(scheduled);
  }

  /** Runs everything that is due within the next milliseconds. */
  public void advance(long milliseconds) {
    long end = now + milliseconds;
    while (!tasks.isEmpty() && tasks.peek().due() <= end) {
      Task next = tasks.poll();
      now = next.due();
      next.task().run();
    }
    now = end;
  }

  private record Task(long due, long sequence, Runnable task) {}
}
