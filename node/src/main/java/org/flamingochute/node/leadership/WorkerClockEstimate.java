package org.flamingochute.node.leadership;

/**
 * Estimates a worker's clock from the clock values in its responses.
 *
 * <p>The estimate is never ahead of the worker's clock by more than the drift since the last
 * response: it treats the value in a response as the clock at the response's arrival, although it
 * was read earlier. The drift of a slow clock grows with the time since the response, and a lease
 * whose deadline is ahead of the worker's clock lasts longer than the leader counts. So an estimate
 * from an old response is not used.
 */
final class WorkerClockEstimate {
  /** A worker's clock may be 2 % slow; 1/40 leaves a margin. */
  private static final long DRIFT_DIVISOR = 40;

  /**
   * Age up to which the margin in the expiry of a lease covers the drift. It is longer than any
   * time between two responses of a worker that responds.
   */
  private static final long MAXIMUM_AGE_MILLISECONDS = 5_000;

  /**
   * By how much the difference of two readings may exceed the time between them: the clocks are
   * read in whole milliseconds.
   */
  private static final long READING_ERROR_MILLISECONDS = 2;

  private boolean known;
  private long clockMilliseconds;
  private long observedAt;

  /** Applies the clock value of a response that arrived at the given time of the steady clock. */
  void observe(long clock, long now) {
    if (clock > 0) {
      known = true;
      clockMilliseconds = clock;
      observedAt = now;
    }
  }

  /** Returns whether the worker's clock is known well enough to grant a lease. */
  boolean isRecent(long now) {
    return known && now - observedAt <= MAXIMUM_AGE_MILLISECONDS;
  }

  /** Returns a lower bound of the clock at the given time, if the worker has not started again. */
  long earliestAt(long now) {
    long drift = (now - observedAt) / DRIFT_DIVISOR;
    return estimateAt(now) - drift - READING_ERROR_MILLISECONDS;
  }

  long estimateAt(long now) {
    return clockMilliseconds + (now - observedAt);
  }
}
