package org.flamingochute.node.leadership;

/**
 * Estimates a worker's clock from its answers.
 *
 * <p>The estimate is never ahead of the clock by more than its drift: it takes the clock as of the
 * arrival of the answer, which was sent earlier.
 */
final class WorkerClock {
  private boolean known;
  private long clockMilliseconds;
  private long observedAt;

  /** Takes the clock from an answer that arrived at the given steady time. */
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

  long at(long now) {
    return clockMilliseconds + (now - observedAt);
  }
}
