package org.flamingochute.decision.admission;

/**
 * How many requests of a team all entries start for each one that this entry starts.
 *
 * <p>Counts of both kinds lose weight with their age, by the same time constant. The ratio is
 * bounded, so that a team that gets nearly nothing here, because others serve it, is tried again.
 * Example: of 40 recent requests of the team this entry started 10, so that the ratio is about 4.
 * Guarded by the lock of the queue that it is part of.
 */
final class FleetServiceRatio {

  private static final double TIME_CONSTANT_MILLISECONDS = 1_000;
  private static final double MAXIMUM_RATIO = 64;

  private double localRequests;
  private double remoteRequests;
  private long agedMilliseconds = Long.MIN_VALUE;

  void addLocal() {
    localRequests++;
  }

  void addRemote(double requests) {
    remoteRequests += requests;
  }

  /** Lets the counts lose weight up to the given time. */
  void age(long nowMilliseconds) {
    if (agedMilliseconds == Long.MIN_VALUE) {
      agedMilliseconds = nowMilliseconds;
      return;
    }
    if (nowMilliseconds <= agedMilliseconds) {
      return;
    }
    double kept = Math.exp(-(nowMilliseconds - agedMilliseconds) / TIME_CONSTANT_MILLISECONDS);
    localRequests *= kept;
    remoteRequests *= kept;
    agedMilliseconds = nowMilliseconds;
  }

  double ratio() {
    double ratio = (localRequests + remoteRequests + 1) / (localRequests + 1);
    return Math.min(ratio, MAXIMUM_RATIO);
  }
}
