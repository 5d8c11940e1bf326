package org.flamingochute.scheduling.core;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.schema.scheduling.PoolHistory;

/**
 * Forecasts the rises of pools whose load rises and falls by turns.
 *
 * <p>A rise is the moment at which a pool's load passes the upper threshold after it was below the
 * lower one. Pools that take turns rise one after another with about the same gap between them. So
 * once a pool had its turn, it is not due again before the others had theirs, and then after one
 * more gap. A pool without a turn so far has no forecast. A wrong forecast costs time, not work:
 * the planner answers an unexpected rise when it sees it.
 */
final class TurnForecast {
  /** Load at which a turn begins, as a part of the pool's own machines. */
  private static final double RISE = 0.5;

  /** Load below which the next turn may begin. */
  private static final double FALL = 0.25;

  /** A rise that comes earlier than this before its forecast shows that the forecast is wrong. */
  private static final long EARLY_MILLISECONDS = 3_000;

  /** Time after a forecast at which the turn is regarded as left out. */
  private static final long LATE_MILLISECONDS = 3_000;

  /** Time after a rise for which no other is expected while the gap between rises is not known. */
  private static final double UNKNOWN_GAP_MILLISECONDS = 6_000;

  /** Weight of the newest gap in the average. */
  private static final double GAIN = 0.5;

  private static final class Turns {
    private boolean inTurn;
    private long roseAt = Long.MIN_VALUE;
    private boolean unreliable;

    private boolean hasRisen() {
      return roseAt != Long.MIN_VALUE;
    }
  }

  private final Map<PoolId, Turns> pools = new HashMap<>();
  private long lastRiseAt = Long.MIN_VALUE;
  private double gapMilliseconds;

  /**
   * Takes the load of a pool.
   *
   * @param load load as a part of the pool's own machines, without tasks that last
   * @param now time of day, so that a successor on another machine can go on from the record
   * @return true when the pool rises
   */
  boolean observe(PoolId pool, double load, long now) {
    Turns turns = pools.computeIfAbsent(pool, id -> new Turns());
    if (turns.inTurn) {
      turns.inTurn = load > FALL;
      return false;
    }
    boolean rises = load >= RISE;
    if (rises) {
      turns.inTurn = true;
      turns.unreliable |= turns.hasRisen() && !isDue(pool, now, EARLY_MILLISECONDS);
      turns.roseAt = now;
      noteGap(now);
    }
    return rises;
  }

  /** Takes what an earlier scheduler learnt. */
  void restore(PoolHistory history) {
    for (Map.Entry<String, Long> rise : history.getRisesMap().entrySet()) {
      Turns turns = pools.computeIfAbsent(new PoolId(rise.getKey()), id -> new Turns());
      turns.roseAt = rise.getValue();
      // A turn may be going on; the first low load ends it.
      turns.inTurn = true;
    }
    for (String pool : history.getUnpredictableList()) {
      pools.computeIfAbsent(new PoolId(pool), id -> new Turns()).unreliable = true;
    }
    if (history.getLastRiseMilliseconds() > 0) {
      lastRiseAt = history.getLastRiseMilliseconds();
      gapMilliseconds = history.getGapMilliseconds();
    }
  }

  /** Adds what was learnt to a record. */
  void record(PoolHistory.Builder history) {
    pools.forEach(
        (pool, turns) -> {
          if (turns.hasRisen()) {
            history.putRises(pool.value(), turns.roseAt);
          }
          if (turns.unreliable) {
            history.addUnpredictable(pool.value());
          }
        });
    if (lastRiseAt != Long.MIN_VALUE) {
      history.setLastRiseMilliseconds(lastRiseAt).setGapMilliseconds(gapMilliseconds);
    }
  }

  private void noteGap(long now) {
    if (lastRiseAt != Long.MIN_VALUE) {
      double gap = now - lastRiseAt;
      gapMilliseconds =
          gapMilliseconds == 0 ? gap : gapMilliseconds + GAIN * (gap - gapMilliseconds);
    }
    lastRiseAt = now;
  }

  /** Tells whether the pool's load is high now. */
  boolean isInTurn(PoolId pool) {
    Turns turns = pools.get(pool);
    return turns != null && turns.inTurn;
  }

  /** Tells whether nothing is known of the pool's next turn, and it is not in one. */
  boolean isUnknown(PoolId pool) {
    Turns turns = pools.get(pool);
    return turns == null || !turns.inTurn && (turns.unreliable || !turns.hasRisen());
  }

  /** Tells whether the pool had a turn. */
  boolean hadTurn(PoolId pool) {
    Turns turns = pools.get(pool);
    return turns != null && turns.hasRisen();
  }

  /**
   * Tells whether the pool may rise within the given time. A pool that had no turn yet may rise at
   * any time, and so may one that rose when it was not due.
   */
  boolean isDue(PoolId pool, long now, long withinMilliseconds) {
    Turns turns = pools.get(pool);
    if (turns == null || turns.unreliable || !turns.hasRisen()) {
      return true;
    }
    OptionalLong rise = nextRise(pool);
    return rise.isPresent()
        && now >= rise.getAsLong() - withinMilliseconds
        && now <= rise.getAsLong() + LATE_MILLISECONDS;
  }

  /**
   * Tells whether the pool can do without its idle machines for the given time: it is not in its
   * turn, and no pool is expected to rise within that time. Before a gap between turns is known,
   * any pool may rise at any time.
   */
  boolean mayLend(PoolId pool, long now, long milliseconds) {
    Turns turns = pools.get(pool);
    if (turns == null || turns.inTurn || turns.unreliable || lastRiseAt == Long.MIN_VALUE) {
      return false;
    }
    boolean hadTurn = turns.hasRisen() && gapMilliseconds > 0 && nextRise(pool).isEmpty();
    double gap = gapMilliseconds == 0 ? UNKNOWN_GAP_MILLISECONDS : gapMilliseconds;
    return hadTurn || now + milliseconds < lastRiseAt + Math.round(gap);
  }

  /**
   * Returns when the pool's next turn is expected, or nothing when it is not due before others had
   * their turns.
   */
  private OptionalLong nextRise(PoolId pool) {
    Turns own = pools.get(pool);
    if (own == null || !own.hasRisen() || gapMilliseconds == 0) {
      return OptionalLong.empty();
    }
    for (Turns other : pools.values()) {
      if (other != own && other.roseAt <= own.roseAt) {
        return OptionalLong.empty();
      }
    }
    return OptionalLong.of(lastRiseAt + Math.round(gapMilliseconds));
  }
}
