package org.flamingochute.load;

/**
 * The rate of new calls of one class over time.
 *
 * <p>The classes take turns: each in its turn sends {@value #BURST_FACTOR} times its mean, and
 * about a twentieth of it in between. Example with 5 classes and bursts of 3000 ms: class 1 of mean
 * 10/s sends 50/s from 3000 to 6000 ms, again from 18000 to 21000 ms, and 0.5/s otherwise.
 *
 * @param meanPerSecond mean rate in calls a second
 * @param burstMilliseconds length of a turn; 0 for a steady rate
 * @param position place of the class in the order of turns, from 0
 * @param classes number of classes that take turns
 */
public record ArrivalRate(double meanPerSecond, long burstMilliseconds, int position, int classes) {

  /** Rate in a burst as a multiple of the mean. */
  public static final double BURST_FACTOR = 5;

  /** Rate between bursts as a part of the mean. */
  public static final double QUIET_FACTOR = 0.05;

  /** Returns the rate at a time after the start, in calls a second. */
  public double perSecondAt(long milliseconds) {
    if (burstMilliseconds == 0 || classes == 1) {
      return meanPerSecond;
    }
    boolean inTurn = milliseconds / burstMilliseconds % classes == position;
    return meanPerSecond * (inTurn ? BURST_FACTOR : QUIET_FACTOR);
  }

  /** Returns the largest rate, in calls a second. */
  public double largestPerSecond() {
    boolean steady = burstMilliseconds == 0 || classes == 1;
    return steady ? meanPerSecond : meanPerSecond * BURST_FACTOR;
  }
}
