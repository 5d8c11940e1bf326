package org.flamingochute.load;

/**
 * Arrival rate of one class of calls over time.
 *
 * <p>The classes burst in turn: the rate of a class is {@value #BURST_FACTOR} times its nominal
 * rate in its burst and {@value #QUIET_FACTOR} times its nominal rate otherwise. Example with 5
 * classes and bursts of 3000 ms: class 1 with a nominal rate of 10/s sends 50/s from 3000 to 6000
 * ms and again from 18000 to 21000 ms, and 0.5/s otherwise.
 *
 * <p>With bursts, the mean over time is near the nominal rate only for about 5 classes: it is 1.04
 * times the nominal rate for 5 classes and 2.525 times for 2.
 *
 * @param nominalPerSecond nominal rate in calls per second; the constant rate if there are no
 *     bursts
 * @param burstMilliseconds duration of a burst; 0 for no bursts
 * @param position index of the class in the order of bursts, starting at 0
 * @param classes number of classes; a single class has no bursts
 */
public record ArrivalRate(
    double nominalPerSecond, long burstMilliseconds, int position, int classes) {

  /** Rate in a burst as a multiple of the nominal rate. */
  public static final double BURST_FACTOR = 5;

  /** Rate between bursts as a fraction of the nominal rate. */
  public static final double QUIET_FACTOR = 0.05;

  /** Returns the rate at a time after the start, in calls per second. */
  public double perSecondAt(long milliseconds) {
    if (burstMilliseconds == 0 || classes == 1) {
      return nominalPerSecond;
    }
    boolean isBursting = milliseconds / burstMilliseconds % classes == position;
    return nominalPerSecond * (isBursting ? BURST_FACTOR : QUIET_FACTOR);
  }

  /** Returns the maximum rate, in calls per second. */
  public double maximumPerSecond() {
    boolean isSteady = burstMilliseconds == 0 || classes == 1;
    return isSteady ? nominalPerSecond : nominalPerSecond * BURST_FACTOR;
  }
}
