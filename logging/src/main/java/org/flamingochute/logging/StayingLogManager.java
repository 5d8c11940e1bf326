package org.flamingochute.logging;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers while the process shuts down.
 *
 * <p>The standard one removes them in a shutdown hook of its own, so that what other hooks log may
 * be lost. Named in the system property {@code java.util.logging.manager}.
 */
public final class StayingLogManager extends LogManager {
  private static volatile boolean staying;

  /** Ignores resets from now on. */
  static void stay() {
    staying = true;
  }

  @Override
  public void reset() {
    if (!staying) {
      super.reset();
    }
  }
}
