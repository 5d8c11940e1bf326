package org.flamingochute.experiment.model;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs scheduled actions in order of simulated time; actions of the same time run in the order in
 * which they were scheduled.
 */
public final class EventQueue {

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingDouble(Event::milliseconds).thenComparingLong(Event::sequence));
  private double nowMilliseconds;
  private long nextSequence;

  /** Returns the current simulated time in milliseconds. */
  public double nowMilliseconds() {
    return nowMilliseconds;
  }

  /**
   * Returns the current simulated time, truncated to the whole milliseconds that the decision code
   * expects.
   */
  public long nowWholeMilliseconds() {
    return (long) nowMilliseconds;
  }

  /** Schedules an action after a delay. */
  public void schedule(double delayMilliseconds, Runnable action) {
    events.add(new Event(nowMilliseconds + delayMilliseconds, nextSequence++, action));
  }

  /** Schedules an action periodically, for the first time after one interval. */
  public void schedulePeriodically(double intervalMilliseconds, Runnable action) {
    schedule(
        intervalMilliseconds,
        () -> {
          action.run();
          schedulePeriodically(intervalMilliseconds, action);
        });
  }

  /** Runs all actions scheduled up to and including the given time. */
  public void runUntil(double endMilliseconds) {
    while (!events.isEmpty() && events.peek().milliseconds() <= endMilliseconds) {
      Event event = events.poll();
      nowMilliseconds = event.milliseconds();
      event.action().run();
    }
    nowMilliseconds = endMilliseconds;
  }

  private record Event(double milliseconds, long sequence, Runnable action) {}
}
