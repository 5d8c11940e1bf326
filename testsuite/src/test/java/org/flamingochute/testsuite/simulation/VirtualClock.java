package org.flamingochute.testsuite.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual time as a queue of events.
 *
 * <p>Events run one at a time, in the order of their time and, at the same time, in the order in
 * which they were scheduled. So the same scenario with the same seed gives the same run.
 */
public final class VirtualClock {

  /** Wall clock time at which every scenario begins, in milliseconds since the epoch. */
  public static final long START_WALL_MILLISECONDS = 1_800_000_000_000L;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMilliseconds).thenComparingLong(Event::sequence));
  private long nowMilliseconds;
  private long nextSequence;

  private record Event(long atMilliseconds, long sequence, Runnable task) {}

  /** Returns the time since the begin of the scenario in milliseconds. */
  public long nowMilliseconds() {
    return nowMilliseconds;
  }

  /** Returns the wall clock time in milliseconds since the epoch. */
  public long wallMilliseconds() {
    return START_WALL_MILLISECONDS + nowMilliseconds;
  }

  /** Runs a task after a delay in milliseconds. */
  public void after(long delayMilliseconds, Runnable task) {
    long at = nowMilliseconds + Math.max(0, delayMilliseconds);
    events.add(new Event(at, nextSequence++, task));
  }

  /** Runs all events up to and including the given time. */
  public void runUntil(long endMilliseconds) {
    while (!events.isEmpty() && events.peek().atMilliseconds() <= endMilliseconds) {
      Event event = events.poll();
      nowMilliseconds = event.atMilliseconds();
      event.task().run();
    }
    nowMilliseconds = endMilliseconds;
  }
}
