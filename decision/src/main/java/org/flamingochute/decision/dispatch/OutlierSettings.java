package org.flamingochute.decision.dispatch;

/**
 * Settings of an {@link OutlierDetector}.
 *
 * @param consecutiveFailures failures in a row that eject an endpoint
 * @param baseEjectionMilliseconds time of the first ejection; each further one in a row doubles it
 * @param maximumEjectionMilliseconds longest ejection
 * @param slowStartMilliseconds time over which an endpoint that comes back gets its slots again
 * @param maximumEjectedPercent part of the endpoints that may be ejected at once
 */
public record OutlierSettings(
    int consecutiveFailures,
    long baseEjectionMilliseconds,
    long maximumEjectionMilliseconds,
    long slowStartMilliseconds,
    int maximumEjectedPercent) {

  /** Returns the default settings. */
  public static OutlierSettings defaults() {
    return new OutlierSettings(5, 5_000, 60_000, 5_000, 50);
  }
}
