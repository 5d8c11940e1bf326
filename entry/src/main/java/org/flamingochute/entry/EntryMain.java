package org.flamingochute.entry;

import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.flamingochute.engine.DefaultEntryNode;
import org.flamingochute.logging.KeyValueLogging;
import org.flamingochute.logging.ShutdownSafeLogManager;

/**
 * Main class of the entry.
 *
 * <p>The process runs until it receives a termination signal, then stops gracefully and exits with
 * 0. An uncaught exception is logged and counted, and the process keeps running.
 */
public final class EntryMain {
  private static final String LOG_MANAGER_PROPERTY = "java.util.logging.manager";
  private static final String SLF4J_VERBOSITY_PROPERTY = "slf4j.internal.verbosity";

  private EntryMain() {}

  /** Executes the command line and exits with its exit code. */
  public static void main(String[] arguments) throws InterruptedException {
    // Must be set before the first logger is created, since both are read then.
    System.setProperty(LOG_MANAGER_PROPERTY, ShutdownSafeLogManager.class.getName());
    System.setProperty(SLF4J_VERBOSITY_PROPERTY, "ERROR");
    KeyValueLogging.install();
    EntryCommand command =
        new EntryCommand(
            DefaultEntryNode::create, System.out, System.err, EntryMain::installProcessHooks);
    Optional<Integer> exitCode = command.execute(arguments);
    if (exitCode.isPresent()) {
      System.exit(exitCode.get());
    }
    new CountDownLatch(1).await();
  }

  private static void installProcessHooks(EntryProcess process) {
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, error) -> process.handleUncaughtException(thread.getName(), error));
    Thread stopThread =
        new Thread(
            () -> {
              process.stop();
              System.err.flush();
              // Otherwise the exit code would be that of the signal, as after a crash.
              Runtime.getRuntime().halt(EntryCommand.EXIT_OK);
            },
            "stop");
    Runtime.getRuntime().addShutdownHook(stopThread);
  }
}
