package org.flamingochute.scheduling.speculation;

/**
 * What is known about a run that may be slow. Times are in milliseconds.
 *
 * @param elapsedMilliseconds time since the run's start, up to its newest status
 * @param percent percentage of the work that is done
 * @param expectedMilliseconds expected duration of a fresh run on a healthy worker
 * @param workerSlow whether the worker's tasks progress much slower than those of its pool
 * @param silentMilliseconds time since the newest status while calls to the worker fail, else 0
 */
public record RunObservation(
    long elapsedMilliseconds,
    int percent,
    long expectedMilliseconds,
    boolean workerSlow,
    long silentMilliseconds) {

  private static final int FULL_PERCENT = 100;

  /**
   * Returns the time after which the run is expected to end. A run that has reported no progress is
   * expected to take as long again as it has taken so far.
   */
  public long remainingMilliseconds() {
    if (percent <= 0) {
      return elapsedMilliseconds;
    }
    return elapsedMilliseconds * (FULL_PERCENT - Math.min(percent, FULL_PERCENT)) / percent;
  }
}
