package org.flamingochute.scheduling.core;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.flamingochute.decision.identity.PoolId;

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

  /** Weight of the newest gap in the average. */
  private static final double GAIN = 0.5;

  private static final class Turns {
    private boolean inTurn;
    private long roseAt = Long.MIN_VALUE;
    private int peak;

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
   * @param machines machines that the load asks for
   */
  void observe(PoolId pool, double load, int machines, long now) {
    Turns turns = pools.computeIfAbsent(pool, id -> new Turns());
    if (turns.inTurn) {
      turns.peak = Math.max(turns.peak, machines);
      turns.inTurn = load > FALL;
      return;
    }
    if (load >= RISE) {
      turns.inTurn = true;
      turns.peak = machines;
      turns.roseAt = now;
      noteGap(now);
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

  /** Tells whether the pool had a turn. */
  boolean hadTurn(PoolId pool) {
    Turns turns = pools.get(pool);
    return turns != null && turns.hasRisen();
  }

  /** Returns the most machines that the last turn of the pool asked for. */
  int peakOf(PoolId pool) {
    Turns turns = pools.get(pool);
    return turns == null ? 0 : turns.peak;
  }

  /**
   * Returns when the pool's next turn is expected, or nothing when it is not due before others had
   * their turns, or has no forecast.
   */
  OptionalLong nextRise(PoolId pool) {
    Turns own = pools.get(pool);
    if (own == null || !own.hasRisen() || gapMilliseconds == 0) {
      return OptionalLong.empty();
    }
    for (Turns other : pools.values()) {
      if (other != own && other.hasRisen() && other.roseAt <= own.roseAt) {
        return OptionalLong.empty();
      }
    }
    return OptionalLong.of(lastRiseAt + Math.round(gapMilliseconds));
  }
}
