package org.flamingochute.entry.log;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Sends the log of the whole process to standard error as lines of pairs. */
public final class KeyValueLogging {
  private KeyValueLogging() {}

  /** Replaces the handlers of the root logger. */
  public static void install() {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    ConsoleHandler handler = new ConsoleHandler();
    handler.setLevel(Level.ALL);
    handler.setFormatter(new KeyValueFormatter());
    root.addHandler(handler);
    root.setLevel(Level.INFO);
    StayingLogManager.stay();
  }
}
