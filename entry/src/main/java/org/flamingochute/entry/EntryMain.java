package org.flamingochute.entry;

import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.flamingochute.engine.DefaultEntryNode;
import org.flamingochute.logging.KeyValueLogging;
import org.flamingochute.logging.StayingLogManager;

/**
 * The entry's program.
 *
 * <p>It runs until it is asked to terminate, then stops gracefully and exits with 0. An exception
 * that no one catches is logged and counted, and the process goes on.
 */
public final class EntryMain {
  private static final String LOG_MANAGER = "java.util.logging.manager";
  private static final String LIBRARY_LOG_VERBOSITY = "slf4j.internal.verbosity";

  private EntryMain() {}

  /** Runs the command line and exits with its code. */
  public static void main(String[] arguments) throws InterruptedException {
    // Both are read when the first logger is created.
    System.setProperty(LOG_MANAGER, StayingLogManager.class.getName());
    System.setProperty(LIBRARY_LOG_VERBOSITY, "ERROR");
    KeyValueLogging.install();
    EntryCommand command =
        new EntryCommand(DefaultEntryNode::create, System.out, System.err, EntryMain::started);
    Optional<Integer> exitCode = command.execute(arguments);
    if (exitCode.isPresent()) {
      System.exit(exitCode.get());
    }
    new CountDownLatch(1).await();
  }

  private static void started(EntryProcess process) {
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, error) -> process.uncaught(thread.getName(), error));
    Thread stopping =
        new Thread(
            () -> {
              process.stop();
              System.err.flush();
              // Without this the exit code would name the signal, as after a crash.
              Runtime.getRuntime().halt(EntryCommand.EXIT_OK);
            },
            "stop");
    Runtime.getRuntime().addShutdownHook(stopping);
  }
}
