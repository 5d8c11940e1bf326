package org.flamingochute.node;

import java.util.concurrent.TimeUnit;

/** The clocks of the process. */
public class NodeClock {

  /** Returns the time of the steady clock in milliseconds. */
  public long steadyMilliseconds() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Returns the wall-clock time in milliseconds since 1970. */
  public long wallClockMilliseconds() {
    return System.currentTimeMillis();
  }

  /** Returns a reading of both clocks. */
  public ClockReading read() {
    return new ClockReading(steadyMilliseconds(), wallClockMilliseconds());
  }
}
