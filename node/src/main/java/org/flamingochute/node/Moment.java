package org.flamingochute.node;

/**
 * A point in time by both clocks. The steady clock stands still while the machine is suspended, and
 * the time of day may be set; an age must not be underestimated by either.
 *
 * @param steady milliseconds of the steady clock
 * @param wallClockMilliseconds milliseconds since 1970
 */
public record Moment(long steady, long wallClockMilliseconds) {

  /** Returns the longer of the two spans from this moment to a later one, in milliseconds. */
  public long elapsedUntil(Moment later) {
    return Math.max(later.steady - steady, later.wallClockMilliseconds - wallClockMilliseconds);
  }
}
