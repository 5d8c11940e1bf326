package org.flamingochute.decision.admission;

/**
 * The ratio of the requests of a team that all entries start to those that this entry starts.
 *
 * <p>Both counts decay exponentially with the same time constant. The ratio is bounded, so that a
 * team that is served here rarely, because other entries serve it, still gets its turn. Example: if
 * this entry started 10 of 40 recent requests of the team, the ratio is about 4. Guarded by the
 * lock of the queue.
 */
final class FleetServiceRatio {

  private static final double TIME_CONSTANT_MILLISECONDS = 1_000;
  private static final double MAXIMUM_RATIO = 64;

  private double localRequests;
  private double remoteRequests;
  private long lastDecayMilliseconds = Long.MIN_VALUE;

  void addLocal() {
    localRequests++;
  }

  void addRemote(double requests) {
    remoteRequests += requests;
  }

  /** Applies the decay of the counts up to the given time. */
  void decay(long nowMilliseconds) {
    if (lastDecayMilliseconds == Long.MIN_VALUE) {
      lastDecayMilliseconds = nowMilliseconds;
      return;
    }
    if (nowMilliseconds <= lastDecayMilliseconds) {
      return;
    }
    double decayFactor =
        Math.exp(-(nowMilliseconds - lastDecayMilliseconds) / TIME_CONSTANT_MILLISECONDS);
    localRequests *= decayFactor;
    remoteRequests *= decayFactor;
    lastDecayMilliseconds = nowMilliseconds;
  }

  double ratio() {
    double ratio = (localRequests + remoteRequests + 1) / (localRequests + 1);
    return Math.min(ratio, MAXIMUM_RATIO);
  }
}
