package org.flamingochute.scheduling.interference;

import org.flamingochute.decision.identity.InstanceId;

/**
 * Usual tail latency of one serving image without fillers on its worker, relative to its target.
 *
 * <p>It is the median of the workers without fillers, which follows the load of the image, plus the
 * usual difference of the worker from that median, since the load of an image may be uneven. While
 * too few workers are without fillers, the median is that of the tails beside fillers after their
 * known effects have been subtracted.
 */
final class UsualTail {
  /** Short, since the load of all tasks of an image changes within seconds. */
  private static final long TAIL_HALF_LIFE_MILLISECONDS = 3_000;

  private static final long DIFFERENCE_HALF_LIFE_MILLISECONDS = 60_000;
  private static final int MAXIMUM_WORKERS = 64;

  private final WorkerMeans tails = new WorkerMeans(TAIL_HALF_LIFE_MILLISECONDS, MAXIMUM_WORKERS);
  private final WorkerMeans derivedTails =
      new WorkerMeans(TAIL_HALF_LIFE_MILLISECONDS, MAXIMUM_WORKERS);
  private final WorkerMeans differences =
      new WorkerMeans(DIFFERENCE_HALF_LIFE_MILLISECONDS, MAXIMUM_WORKERS);

  /** Adds a tail that was measured without fillers. */
  void observe(InstanceId worker, double tailRatio, long now) {
    tails.observe(worker, tailRatio, 1, now);
    if (tails.isKnown()) {
      differences.observe(worker, tailRatio - tails.median(), 1, now);
    }
  }

  /** Adds a tail that was measured beside fillers, without their known effects. */
  void observeDerived(InstanceId worker, double tailRatio, long now) {
    derivedTails.observe(worker, tailRatio - differenceOf(worker, now), 1, now);
  }

  void update(long now) {
    tails.update(now);
    derivedTails.update(now);
    differences.update(now);
  }

  boolean isKnown() {
    return tails.isKnown() || derivedTails.isKnown();
  }

  boolean isEmpty() {
    return tails.isEmpty() && derivedTails.isEmpty() && differences.isEmpty();
  }

  /** Returns the usual tail on the worker; only meaningful while it is known. */
  double on(InstanceId worker, long now) {
    double median = tails.isKnown() ? tails.median() : derivedTails.median();
    return median + differenceOf(worker, now);
  }

  private double differenceOf(InstanceId worker, long now) {
    return differences.meanOf(worker, now).orElse(0);
  }
}
