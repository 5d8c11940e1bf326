package org.flamingochute.experiment.model;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs actions in the order of their times; actions of the same time in the order of their entry.
 */
public final class EventQueue {

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingDouble(Event::milliseconds).thenComparingLong(Event::sequence));
  private double nowMilliseconds;
  private long nextSequence;

  /** Returns the present time of the model in milliseconds. */
  public double now() {
    return nowMilliseconds;
  }

  /** Returns the present time in whole milliseconds, as the decision code takes it. */
  public long wholeNow() {
    return (long) nowMilliseconds;
  }

  /** Runs an action after a delay. */
  public void after(double delayMilliseconds, Runnable action) {
    events.add(new Event(nowMilliseconds + delayMilliseconds, nextSequence++, action));
  }

  /** Runs an action again and again, first after one interval. */
  public void every(double intervalMilliseconds, Runnable action) {
    after(
        intervalMilliseconds,
        () -> {
          action.run();
          every(intervalMilliseconds, action);
        });
  }

  /** Runs all actions up to a time. */
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
