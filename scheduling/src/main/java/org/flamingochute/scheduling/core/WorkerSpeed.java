package org.flamingochute.scheduling.core;

/**
 * Speed of a worker's tasks relative to their expected durations, as an exponential moving average.
 *
 * <p>Expected durations may be wrong for a job, but the error is the same on all workers of a pool.
 * So a value is only meaningful in comparison with those of the pool's other workers.
 */
final class WorkerSpeed {
  /** Weight of the newest sample. */
  private static final double SMOOTHING_FACTOR = 0.2;

  /** Number of samples from which the average is used. */
  private static final int MINIMUM_SAMPLES = 4;

  /** Shortest time since its start after which a run's progress counts as a sample. */
  private static final long MINIMUM_ELAPSED_MILLISECONDS = 250;

  private static final double PERCENT = 100;

  private double average;
  private int sampleCount;

  /**
   * Adds a sample from a run's progress.
   *
   * @param percent percentage of the work that is done
   * @param elapsedMilliseconds time since the run's start
   * @param expectedMilliseconds expected duration of the whole task
   */
  void observe(int percent, long elapsedMilliseconds, long expectedMilliseconds) {
    if (elapsedMilliseconds < MINIMUM_ELAPSED_MILLISECONDS || expectedMilliseconds <= 0) {
      return;
    }
    double sample = percent / PERCENT * expectedMilliseconds / elapsedMilliseconds;
    average = sampleCount == 0 ? sample : average + SMOOTHING_FACTOR * (sample - average);
    sampleCount++;
  }

  /** Forgets all samples. */
  void reset() {
    sampleCount = 0;
  }

  boolean isKnown() {
    return sampleCount >= MINIMUM_SAMPLES;
  }

  double value() {
    return average;
  }
}
