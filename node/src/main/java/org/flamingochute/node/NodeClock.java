package org.flamingochute.node;

import java.util.concurrent.TimeUnit;

/** The clocks of the process. */
public class NodeClock {

  /** Returns the steady clock in milliseconds. */
  public long steady() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Returns milliseconds since 1970. */
  public long wallClockMilliseconds() {
    return System.currentTimeMillis();
  }

  /** Returns both. */
  public Moment now() {
    return new Moment(steady(), wallClockMilliseconds());
  }
}
