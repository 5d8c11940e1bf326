package org.flamingochute.node;

import java.util.concurrent.atomic.AtomicLong;

/** A clock that stands still unless a test moves it. */
public final class ManualClock extends NodeClock {
  private final AtomicLong now = new AtomicLong(1_000_000);

  /** Moves the clock forward. */
  public void advance(long milliseconds) {
    now.addAndGet(milliseconds);
  }

  @Override
  public long steadyMilliseconds() {
    return now.get();
  }

  @Override
  public long wallClockMilliseconds() {
    return now.get();
  }
}
