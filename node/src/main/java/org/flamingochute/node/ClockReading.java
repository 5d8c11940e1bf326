package org.flamingochute.node;

/**
 * A reading of both clocks at one moment. The steady clock stops while the machine is suspended,
 * and the wall clock may be adjusted; an age must not be underestimated because of either.
 *
 * @param steadyMilliseconds time of the steady clock in milliseconds
 * @param wallClockMilliseconds milliseconds since 1970
 */
public record ClockReading(long steadyMilliseconds, long wallClockMilliseconds) {

  /**
   * Returns the time from this reading to a later one, in milliseconds: the longer of both clocks.
   */
  public long elapsedMillisecondsUntil(ClockReading later) {
    return Math.max(
        later.steadyMilliseconds - steadyMilliseconds,
        later.wallClockMilliseconds - wallClockMilliseconds);
  }
}
