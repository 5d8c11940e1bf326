package org.flamingochute.logging;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers while the process shuts down.
 *
 * <p>The standard log manager removes its handlers in a shutdown hook, so that messages of other
 * shutdown hooks may be lost. Selected with the system property {@code java.util.logging.manager}.
 */
public final class ShutdownSafeLogManager extends LogManager {
  private static volatile boolean keepingHandlers;

  /** Makes all further calls of {@link #reset} do nothing. */
  static void keepHandlers() {
    keepingHandlers = true;
  }

  @Override
  public void reset() {
    if (!keepingHandlers) {
      super.reset();
    }
  }
}
