package org.flamingochute.logging;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Sends the log of the whole process to a standard stream as lines of pairs. */
public final class KeyValueLogging {
  private KeyValueLogging() {}

  /** Replaces the handlers of the root logger by one that writes to standard error at once. */
  public static void install() {
    ConsoleHandler handler = new ConsoleHandler();
    handler.setLevel(Level.ALL);
    handler.setFormatter(new KeyValueFormatter());
    use(handler);
  }

  /**
   * Replaces the handlers of the root logger by one that writes to standard output from a thread of
   * its own.
   *
   * @return the handler, to flush it at the end of the process
   */
  public static Handler installBounded() {
    Handler handler =
        new BoundedLogHandler(new FileOutputStream(FileDescriptor.out), new KeyValueFormatter());
    use(handler);
    return handler;
  }

  private static void use(Handler installed) {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    root.addHandler(installed);
    root.setLevel(Level.INFO);
    StayingLogManager.stay();
  }
}
