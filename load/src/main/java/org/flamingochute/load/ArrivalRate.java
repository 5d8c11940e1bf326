package org.flamingochute.load;

/**
 * Arrival rate of one class of calls over time.
 *
 * <p>The classes burst in turn: the rate of a class is {@value #BURST_FACTOR} times its mean in its
 * burst and {@value #QUIET_FACTOR} times its mean otherwise. Example with 5 classes and bursts of
 * 3000 ms: class 1 with a mean of 10/s sends 50/s from 3000 to 6000 ms and again from 18000 to
 * 21000 ms, and 0.5/s otherwise.
 *
 * @param meanPerSecond mean rate in calls per second
 * @param burstMilliseconds duration of a burst; 0 for a constant rate
 * @param position index of the class in the order of bursts, starting at 0
 * @param classes number of classes
 */
public record ArrivalRate(double meanPerSecond, long burstMilliseconds, int position, int classes) {

  /** Rate in a burst as a multiple of the mean. */
  public static final double BURST_FACTOR = 5;

  /** Rate between bursts as a fraction of the mean. */
  public static final double QUIET_FACTOR = 0.05;

  /** Returns the rate at a time after the start, in calls per second. */
  public double perSecondAt(long milliseconds) {
    if (burstMilliseconds == 0 || classes == 1) {
      return meanPerSecond;
    }
    boolean isBursting = milliseconds / burstMilliseconds % classes == position;
    return meanPerSecond * (isBursting ? BURST_FACTOR : QUIET_FACTOR);
  }

  /** Returns the maximum rate, in calls per second. */
  public double maximumPerSecond() {
    boolean isSteady = burstMilliseconds == 0 || classes == 1;
    return isSteady ? meanPerSecond : meanPerSecond * BURST_FACTOR;
  }
}
