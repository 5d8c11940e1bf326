package org.flamingochute.decision.dispatch;

/**
 * Settings of an {@link OutlierDetector}.
 *
 * @param consecutiveFailures number of consecutive failures that eject an endpoint
 * @param baseEjectionMilliseconds duration of the first ejection, doubled for each consecutive one
 * @param maximumEjectionMilliseconds maximum duration of an ejection
 * @param slowStartMilliseconds time over which a reinstated endpoint regains its slots
 * @param maximumEjectedPercent maximum percentage of endpoints that are ejected at once
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
