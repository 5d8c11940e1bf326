package org.flamingochute.load;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.flamingochute.platform.Timers;
import org.flamingochute.platform.http.NumericAddress;

/**
 * Gives out entries in turn and leaves out those that were paused lately, because they refused a
 * connection or were not ready.
 *
 * <p>When all entries are paused, they are given out all the same.
 */
public final class Balancer {

  /** Time for which an entry that refused a connection is left out, in milliseconds. */
  public static final long PAUSE_MILLISECONDS = 500;

  private final List<NumericAddress> entries;
  private final Timers timers;
  private final Map<NumericAddress, Long> pausedUntil = new ConcurrentHashMap<>();
  private final AtomicInteger turn = new AtomicInteger();

  /**
   * Creates a balancer.
   *
   * @param entries addresses of the entries, at least one
   */
  public Balancer(List<NumericAddress> entries, Timers timers) {
    this.entries = List.copyOf(entries);
    this.timers = timers;
  }

  /** Returns the next entry. */
  public NumericAddress next() {
    long now = timers.monotonicMilliseconds();
    for (int i = 0; i < entries.size(); i++) {
      NumericAddress entry = nextInTurn();
      Long until = pausedUntil.get(entry);
      if (until == null || until <= now) {
        return entry;
      }
    }
    return nextInTurn();
  }

  private NumericAddress nextInTurn() {
    return entries.get(Math.floorMod(turn.getAndIncrement(), entries.size()));
  }

  /** Leaves an entry out for a while. */
  public void pause(NumericAddress entry) {
    pausedUntil.put(entry, timers.monotonicMilliseconds() + PAUSE_MILLISECONDS);
  }

  /** Returns the number of entries. */
  public int size() {
    return entries.size();
  }
}
