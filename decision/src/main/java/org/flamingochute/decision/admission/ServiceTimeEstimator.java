package org.flamingochute.decision.admission;

/**
 * Estimates the service time of a request from the times seen.
 *
 * <p>Keeps an exponentially weighted mean and mean deviation, as the retransmission timer of TCP
 * does. Example: after many times of 20 ms and one of 60 ms the mean is 25 ms and the deviation 5
 * ms, so the upper estimate is 35 ms. Not safe for several threads at once.
 */
public final class ServiceTimeEstimator {

  private static final double MEAN_GAIN = 1.0 / 8;
  private static final double DEVIATION_GAIN = 1.0 / 4;
  private static final int LONG_OBSERVATIONS = 512;
  private static final double DEVIATIONS = 2.0;

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

  /** Takes one service time into account; a negative one is ignored. */
  public void observe(double milliseconds) {
    if (milliseconds < 0) {
      return;
    }
    observations = Math.min(observations + 1, LONG_OBSERVATIONS);
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

  /** Returns the mean service time in milliseconds. */
  public double meanMilliseconds() {
    return meanMilliseconds;
  }

  /** Returns the mean service time over many requests, in milliseconds. */
  public double longMeanMilliseconds() {
    return longMeanMilliseconds;
  }

  /** Returns a service time in milliseconds that most requests do not exceed. */
  public double upperMilliseconds() {
    return meanMilliseconds + DEVIATIONS * deviationMilliseconds;
  }
}
