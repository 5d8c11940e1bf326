package org.flamingochute.scheduling.core;

/**
 * How fast a worker's tasks proceed against their estimates, as a moving average.
 *
 * <p>Estimates are off by job, but alike on all workers of a pool. So the figure says something
 * only beside that of the other workers.
 */
final class WorkerSpeed {
  /** Weight of the newest sample. */
  private static final double GAIN = 0.2;

  /** Samples before the average says anything. */
  private static final int SAMPLES = 4;

  /** Time for which a run must work before its progress is a sample. */
  private static final long MINIMUM_MILLISECONDS = 250;

  private static final double WHOLE = 100;

  private double average;
  private int samples;

  /**
   * Takes a run's progress.
   *
   * @param percent work done
   * @param elapsedMilliseconds time since its start
   * @param estimateMilliseconds time that the whole work should take
   */
  void observe(int percent, long elapsedMilliseconds, long estimateMilliseconds) {
    if (elapsedMilliseconds < MINIMUM_MILLISECONDS || estimateMilliseconds <= 0) {
      return;
    }
    double sample = percent / WHOLE * estimateMilliseconds / elapsedMilliseconds;
    average = samples == 0 ? sample : average + GAIN * (sample - average);
    samples++;
  }

  boolean isKnown() {
    return samples >= SAMPLES;
  }

  double value() {
    return average;
  }
}
