package org.flamingochute.load;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.flamingochute.platform.Timers;
import org.flamingochute.platform.http.NumericAddress;

/**
 * Selects entries round-robin and skips those that are paused because they refused a connection or
 * were not ready.
 *
 * <p>If all entries are paused, none is skipped.
 */
public final class Balancer {

  /** Time in milliseconds for which a paused entry is skipped. */
  public static final long PAUSE_MILLISECONDS = 500;

  private final List<NumericAddress> entries;
  private final Timers timers;
  private final Map<NumericAddress, Long> pausedUntilMilliseconds = new ConcurrentHashMap<>();
  private final AtomicInteger nextIndex = new AtomicInteger();

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
      NumericAddress entry = nextRoundRobin();
      Long until = pausedUntilMilliseconds.get(entry);
      if (until == null || until <= now) {
        return entry;
      }
    }
    return nextRoundRobin();
  }

  private NumericAddress nextRoundRobin() {
    return entries.get(Math.floorMod(nextIndex.getAndIncrement(), entries.size()));
  }

  /** Skips an entry for {@value #PAUSE_MILLISECONDS} ms. */
  public void pause(NumericAddress entry) {
    pausedUntilMilliseconds.put(entry, timers.monotonicMilliseconds() + PAUSE_MILLISECONDS);
  }

  /** Returns the number of entries. */
  public int size() {
    return entries.size();
  }
}
