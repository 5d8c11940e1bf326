package org.flamingochute.decision.admission;

/**
 * Estimates the service time of a request from observed service times.
 *
 * <p>Keeps an exponentially weighted mean and mean deviation, like the retransmission timer of TCP.
 * Example: after many times of 20 ms and one of 60 ms the mean is 25 ms and the deviation 10 ms, so
 * the upper estimate is 45 ms. Not thread-safe.
 */
public final class ServiceTimeEstimator {

  private static final double MEAN_GAIN = 1.0 / 8;
  private static final double DEVIATION_GAIN = 1.0 / 4;
  private static final int LONG_MEAN_OBSERVATIONS = 512;
  private static final double UPPER_ESTIMATE_DEVIATIONS = 2.0;

  private double meanMilliseconds;
  private double longMeanMilliseconds;
  private double deviationMilliseconds;
  private int observations;

  /**
   * Creates an estimator.
   *
   * @param initialMilliseconds the estimate before the first observation
   */
  public ServiceTimeEstimator(double initialMilliseconds) {
    this.meanMilliseconds = initialMilliseconds;
    this.longMeanMilliseconds = initialMilliseconds;
  }

  /** Records a service time in milliseconds; a negative one is ignored. */
  public void observe(double milliseconds) {
    if (milliseconds < 0) {
      return;
    }
    observations = Math.min(observations + 1, LONG_MEAN_OBSERVATIONS);
    longMeanMilliseconds += (milliseconds - longMeanMilliseconds) / observations;
    if (observations == 1) {
      meanMilliseconds = milliseconds;
      deviationMilliseconds = milliseconds / 2;
      return;
    }
    double error = milliseconds - meanMilliseconds;
    meanMilliseconds += MEAN_GAIN * error;
    deviationMilliseconds += DEVIATION_GAIN * (Math.abs(error) - deviationMilliseconds);
  }

  /** Returns the mean of recent service times, in milliseconds. */
  public double meanMilliseconds() {
    return meanMilliseconds;
  }

  /** Returns the mean service time over a longer period, which varies less, in milliseconds. */
  public double longMeanMilliseconds() {
    return longMeanMilliseconds;
  }

  /** Returns an upper estimate in milliseconds that most service times do not exceed. */
  public double upperMilliseconds() {
    return meanMilliseconds + UPPER_ESTIMATE_DEVIATIONS * deviationMilliseconds;
  }
}
