package org.flamingochute.scheduling.core;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.schema.scheduling.PoolHistory;

/**
 * Forecasts the load peaks of pools that peak in turn.
 *
 * <p>A peak starts when a pool's load reaches the upper threshold and ends when the load has fallen
 * to the lower one. Pools that alternate peak one after another, with about the same gap between
 * the starts. So once a pool has peaked, its next peak is not due before the other pools have had
 * theirs, and then after one more gap. A pool that has not peaked yet has no forecast. A wrong
 * forecast costs time, not work: the planner reacts to an unexpected peak when it observes it.
 */
final class LoadPeakForecast {
  /** Load at which a peak starts, as a fraction of the pool's own machines. */
  private static final double PEAK_START_LOAD = 0.5;

  /** Load at or below which a peak ends, as a fraction of the pool's own machines. */
  private static final double PEAK_END_LOAD = 0.25;

  /** A peak that starts earlier than this before its forecast makes the pool unpredictable. */
  private static final long EARLY_TOLERANCE_MILLISECONDS = 3_000;

  /** Time after its forecast start at which a peak is considered skipped. */
  private static final long LATE_TOLERANCE_MILLISECONDS = 3_000;

  /** Gap that is assumed while the gap between peaks is not known. */
  private static final double DEFAULT_GAP_MILLISECONDS = 6_000;

  /** Weight of the newest gap in the moving average. */
  private static final double SMOOTHING_FACTOR = 0.5;

  private static final class PoolPeaks {
    private boolean atPeak;
    private long lastPeakStartedAt = Long.MIN_VALUE;
    private boolean unpredictable;

    private boolean hasPeaked() {
      return lastPeakStartedAt != Long.MIN_VALUE;
    }
  }

  private final Map<PoolId, PoolPeaks> pools = new HashMap<>();
  private long newestPeakStartedAt = Long.MIN_VALUE;
  private double gapMilliseconds;

  /**
   * Adds an observation of a pool's load.
   *
   * @param load load as a fraction of the pool's own machines, without long-running tasks
   * @param now wall-clock time, so that a successor on another machine can continue from the record
   * @return true when a peak starts
   */
  boolean observe(PoolId pool, double load, long now) {
    PoolPeaks peaks = pools.computeIfAbsent(pool, id -> new PoolPeaks());
    if (peaks.atPeak) {
      peaks.atPeak = load > PEAK_END_LOAD;
      return false;
    }
    boolean peakStarts = load >= PEAK_START_LOAD;
    if (peakStarts) {
      peaks.atPeak = true;
      peaks.unpredictable =
          peaks.hasPeaked() && !isPeakDue(pool, now, EARLY_TOLERANCE_MILLISECONDS);
      peaks.lastPeakStartedAt = now;
      updateGap(now);
    }
    return peakStarts;
  }

  /** Restores the history that a previous leader recorded. */
  void restore(PoolHistory history) {
    for (Map.Entry<String, Long> peakStart : history.getRisesMap().entrySet()) {
      PoolPeaks peaks =
          pools.computeIfAbsent(new PoolId(peakStart.getKey()), id -> new PoolPeaks());
      peaks.lastPeakStartedAt = peakStart.getValue();
    }
    for (String pool : history.getUnpredictableList()) {
      pools.computeIfAbsent(new PoolId(pool), id -> new PoolPeaks()).unpredictable = true;
    }
    if (history.getLastRiseMilliseconds() > 0) {
      newestPeakStartedAt = history.getLastRiseMilliseconds();
      gapMilliseconds = history.getGapMilliseconds();
    }
    for (PoolPeaks peaks : pools.values()) {
      // Only the newest peak may still be in progress; the first low load ends it.
      peaks.atPeak = peaks.hasPeaked() && peaks.lastPeakStartedAt == newestPeakStartedAt;
    }
  }

  /** Adds the history to a record. */
  void record(PoolHistory.Builder history) {
    pools.forEach(
        (pool, peaks) -> {
          if (peaks.hasPeaked()) {
            history.putRises(pool.value(), peaks.lastPeakStartedAt);
          }
          if (peaks.unpredictable) {
            history.addUnpredictable(pool.value());
          }
        });
    if (newestPeakStartedAt != Long.MIN_VALUE) {
      history.setLastRiseMilliseconds(newestPeakStartedAt).setGapMilliseconds(gapMilliseconds);
    }
  }

  private void updateGap(long now) {
    if (newestPeakStartedAt != Long.MIN_VALUE) {
      double gap = now - newestPeakStartedAt;
      gapMilliseconds =
          gapMilliseconds == 0 ? gap : gapMilliseconds + SMOOTHING_FACTOR * (gap - gapMilliseconds);
    }
    newestPeakStartedAt = now;
  }

  /** Returns whether the pool is at its load peak. */
  boolean isAtPeak(PoolId pool) {
    PoolPeaks peaks = pools.get(pool);
    return peaks != null && peaks.atPeak;
  }

  /** Returns whether the pool is not at a peak and its next peak cannot be forecast. */
  boolean isNextPeakUnknown(PoolId pool) {
    PoolPeaks peaks = pools.get(pool);
    return peaks == null || !peaks.atPeak && (peaks.unpredictable || !peaks.hasPeaked());
  }

  /** Returns whether the pool has had a peak. */
  boolean hasPeaked(PoolId pool) {
    PoolPeaks peaks = pools.get(pool);
    return peaks != null && peaks.hasPeaked();
  }

  /**
   * Returns whether a peak of the pool may start within the given time. A pool that has not peaked
   * yet may peak at any time, and so may one that peaked when it was not due.
   */
  boolean isPeakDue(PoolId pool, long now, long withinMilliseconds) {
    PoolPeaks peaks = pools.get(pool);
    if (peaks == null || peaks.unpredictable || !peaks.hasPeaked()) {
      return true;
    }
    OptionalLong peakStart = expectedPeakStart(pool);
    return peakStart.isPresent()
        && now >= peakStart.getAsLong() - withinMilliseconds
        && now <= peakStart.getAsLong() + LATE_TOLERANCE_MILLISECONDS;
  }

  /** Returns whether any pool has had a peak. */
  boolean hasAnyPeaked() {
    return newestPeakStartedAt != Long.MIN_VALUE;
  }

  /**
   * Returns whether a peak of any pool may start within the given time. Before the first peak it
   * may at any time; afterwards not before one gap after the start of the newest peak.
   */
  boolean isAnyPeakDue(long now, long withinMilliseconds) {
    return !hasAnyPeaked()
        || now + withinMilliseconds >= newestPeakStartedAt + Math.round(expectedGap());
  }

  private double expectedGap() {
    return gapMilliseconds == 0 ? DEFAULT_GAP_MILLISECONDS : gapMilliseconds;
  }

  /**
   * Returns whether the pool can spare its idle machines for the given time: it is predictable, is
   * not at a peak, and either other pools are due to peak before it or no pool is expected to peak
   * within that time. Before any pool has peaked, no pool can spare machines.
   */
  boolean canLend(PoolId pool, long now, long milliseconds) {
    PoolPeaks peaks = pools.get(pool);
    if (peaks == null || peaks.atPeak || peaks.unpredictable || !hasAnyPeaked()) {
      return false;
    }
    boolean peakedBeforeOthers =
        peaks.hasPeaked() && gapMilliseconds > 0 && expectedPeakStart(pool).isEmpty();
    return peakedBeforeOthers || !isAnyPeakDue(now, milliseconds);
  }

  /**
   * Returns the expected start of the pool's next peak. Empty when other pools are due before it,
   * and when the pool has not peaked or the gap between peaks is not known.
   */
  private OptionalLong expectedPeakStart(PoolId pool) {
    PoolPeaks own = pools.get(pool);
    if (own == null || !own.hasPeaked() || gapMilliseconds == 0) {
      return OptionalLong.empty();
    }
    for (PoolPeaks other : pools.values()) {
      if (other != own && other.lastPeakStartedAt <= own.lastPeakStartedAt) {
        return OptionalLong.empty();
      }
    }
    return OptionalLong.of(newestPeakStartedAt + Math.round(gapMilliseconds));
  }
}
