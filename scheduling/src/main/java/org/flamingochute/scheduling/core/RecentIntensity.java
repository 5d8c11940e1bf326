package org.flamingochute.scheduling.core;

/**
 * Highest intensity of the fillers of one image on a worker within the time that a reported tail
 * latency covers.
 *
 * <p>The worst part of that time determines the tail, so the highest intensity counts.
 */
final class RecentIntensity {
  /** Reported tail latencies cover the last half second. */
  private static final long WINDOW_MILLISECONDS = 500;

  /** Time after a rise from which the tail shows its effect. */
  private static final long SETTLING_MILLISECONDS = 300;

  final String image;
  private double highest;
  private long highestAt;
  private long risenAt;

  /** Intensity found in the current pass. */
  double current;

  RecentIntensity(String image) {
    this.image = image;
  }

  /** Applies the current intensity. */
  void update(long now) {
    if (current > highest) {
      risenAt = now;
    }
    if (current >= highest || now - highestAt >= WINDOW_MILLISECONDS) {
      highest = current;
      highestAt = now;
    }
  }

  boolean isSettled(long now) {
    return now - risenAt >= SETTLING_MILLISECONDS;
  }

  double highest() {
    return highest;
  }
}
