package org.flamingochute.node.leadership;

/**
 * Estimates a worker's clock from the clock values in its answers.
 *
 * <p>The estimate is never ahead of the worker's clock by more than the drift since the last
 * answer: it treats the value in an answer as the clock at the answer's arrival, although it was
 * read earlier.
 */
final class WorkerClockEstimate {
  private boolean known;
  private long clockMilliseconds;
  private long observedAt;

  /** Applies the clock value of an answer that arrived at the given time of the steady clock. */
  void observe(long clock, long now) {
    if (clock > 0) {
      known = true;
      clockMilliseconds = clock;
      observedAt = now;
    }
  }

  boolean isKnown() {
    return known;
  }

  long estimateAt(long now) {
    return clockMilliseconds + (now - observedAt);
  }
}
