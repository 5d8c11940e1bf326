package org.flamingochute.testsuite.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A clock for discrete event simulation.
 *
 * <p>Events run one at a time, ordered by their time; events with the same time run in the order in
 * which they were scheduled. This makes the execution of a scenario deterministic.
 */
public final class VirtualClock {

  /** Wall clock time at the start of every scenario, in milliseconds since the epoch. */
  public static final long START_WALL_MILLISECONDS = 1_800_000_000_000L;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMilliseconds).thenComparingLong(Event::sequence));
  private long nowMilliseconds;
  private long nextSequence;

  private record Event(long atMilliseconds, long sequence, Runnable task) {}

  /** Returns the time since the start of the scenario in milliseconds. */
  public long nowMilliseconds() {
    return nowMilliseconds;
  }

  /** Returns the wall clock time in milliseconds since the epoch. */
  public long wallMilliseconds() {
    return START_WALL_MILLISECONDS + nowMilliseconds;
  }

  /** Runs a task after a delay in milliseconds. */
  public void runAfter(long delayMilliseconds, Runnable task) {
    long at = nowMilliseconds + Math.max(0, delayMilliseconds);
    events.add(new Event(at, nextSequence++, task));
  }

  /** Runs all events up to and including a time, given in milliseconds since the start. */
  public void runUntil(long endMilliseconds) {
    while (!events.isEmpty() && events.peek().atMilliseconds() <= endMilliseconds) {
      Event event = events.poll();
      nowMilliseconds = event.atMilliseconds();
      event.task().run();
    }
    nowMilliseconds = endMilliseconds;
  }
}
