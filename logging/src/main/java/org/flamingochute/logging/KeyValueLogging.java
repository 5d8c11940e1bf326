package org.flamingochute.logging;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Configures logging of the whole process as lines of key-value pairs on a standard stream. */
public final class KeyValueLogging {
  private KeyValueLogging() {}

  /**
   * Replaces the handlers of the root logger with one that writes to standard error synchronously.
   */
  public static void install() {
    ConsoleHandler handler = new ConsoleHandler();
    handler.setLevel(Level.ALL);
    handler.setFormatter(new KeyValueFormatter());
    replaceRootHandlers(handler);
  }

  /**
   * Replaces the handlers of the root logger with one that writes to standard output from a
   * separate thread.
   *
   * @return the handler, which must be flushed before the process exits
   */
  public static Handler installBounded() {
    Handler handler =
        new BoundedLogHandler(new FileOutputStream(FileDescriptor.out), new KeyValueFormatter());
    replaceRootHandlers(handler);
    return handler;
  }

  private static void replaceRootHandlers(Handler installed) {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    root.addHandler(installed);
    root.setLevel(Level.INFO);
    ShutdownSafeLogManager.keepHandlers();
  }
}
