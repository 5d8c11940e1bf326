package org.flamingochute.node.program;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Handler;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.settings.SettingsReader;
import org.flamingochute.logging.KeyValueLogging;
import org.flamingochute.logging.ShutdownSafeLogManager;
import org.flamingochute.schema.NodeSettings;
import sun.misc.Signal;

/**
 * Main class of the node.
 *
 * <p>It runs until it receives a termination signal, then stops gracefully and exits with 0. On a
 * hang-up signal it reads and checks the settings file again and logs the errors in it; changed
 * settings do not take effect before a restart.
 */
public final class NodeMain {
  static final int EXIT_OK = 0;
  static final int EXIT_CANNOT_START = 1;
  static final int EXIT_USAGE = 2;

  private static final String SETTINGS_VARIABLE = "FLAMINGOCHUTE_BOOT";
  private static final String LOG_MANAGER = "java.util.logging.manager";
  private static final String LIBRARY_LOG_VERBOSITY = "slf4j.internal.verbosity";

  private NodeMain() {}

  /** Runs the command line and exits with its exit code. */
  public static void main(String[] arguments) throws InterruptedException {
    // Both are read when the first logger is created.
    System.setProperty(LOG_MANAGER, ShutdownSafeLogManager.class.getName());
    System.setProperty(LIBRARY_LOG_VERBOSITY, "ERROR");
    Either<ErrorReport, NodeCommandLine> line =
        NodeCommandLine.parse(arguments, System.getenv(SETTINGS_VARIABLE));
    if (line.isLeft()) {
      System.exit(printErrors(EXIT_USAGE, List.of(line.getLeft())));
    }
    switch (line.get()) {
      case NodeCommandLine.ShowHelp help -> System.out.print(NodeCommandLine.HELP);
      case NodeCommandLine.CheckSettings check -> System.exit(check(check.settingsFile()));
      case NodeCommandLine.CheckDeclaration check ->
          System.exit(new DeclarationCheckCommand(System.out, System.err).run(check));
      case NodeCommandLine.RunNode run -> run(run.settingsFile());
    }
  }

  private static int printErrors(int exitCode, List<ErrorReport> reports) {
    reports.forEach(report -> System.err.println("error: " + report));
    return exitCode;
  }

  private static int check(String file) {
    Either<List<ErrorReport>, NodeSettings> settings = readSettings(file);
    if (settings.isLeft()) {
      return printErrors(EXIT_USAGE, settings.getLeft());
    }
    System.out.println(file + ": valid");
    return EXIT_OK;
  }

  private static Either<List<ErrorReport>, NodeSettings> readSettings(String file) {
    String text;
    try {
      text = Files.readString(Path.of(file));
    } catch (IOException | InvalidPathException e) {
      return Either.left(
          List.of(ErrorReport.of(ErrorCode.SETTINGS_UNREADABLE, file, e.toString())));
    }
    return readSettings(file, text);
  }

  /** Reads settings, and checks the values that the form of the settings cannot express. */
  static Either<List<ErrorReport>, NodeSettings> readSettings(String file, String text) {
    return new SettingsReader<>(NodeSettings.getDefaultInstance())
        .read(file, text)
        .flatMap(
            settings ->
                DataCentreNames.parse(file, settings.getInstance().getDataCentres())
                    .map(names -> settings)
                    .mapLeft(List::of));
  }

  private static void run(String file) throws InterruptedException {
    Either<List<ErrorReport>, NodeSettings> settings = readSettings(file);
    if (settings.isLeft()) {
      System.exit(printErrors(EXIT_USAGE, settings.getLeft()));
    }
    Handler log = KeyValueLogging.installBounded();
    FluentLogger logger = FluentLogger.forEnclosingClass();
    logger.atInfo().log(
        "event=process_started instance=%s data_centre=%s",
        settings.get().getInstance().getName(), settings.get().getInstance().getDataCentre());
    Node node;
    try {
      node = Node.start(settings.get());
    } catch (IOException | IllegalArgumentException e) {
      logger.atSevere().withCause(e).log("event=start_failed");
      log.flush();
      System.exit(EXIT_CANNOT_START);
      return;
    }
    Signal.handle(new Signal("HUP"), signal -> checkReloadedSettings(logger, file));
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  logger.atInfo().log("event=process_stopping");
                  node.stop();
                  logger.atInfo().log("event=process_stopped");
                  log.flush();
                  // Without this the exit code would be that of the signal, as after a crash.
                  Runtime.getRuntime().halt(EXIT_OK);
                },
                "stop"));
    new CountDownLatch(1).await();
  }

  private static void checkReloadedSettings(FluentLogger logger, String file) {
    Either<List<ErrorReport>, NodeSettings> settings = readSettings(file);
    if (settings.isLeft()) {
      settings
          .getLeft()
          .forEach(
              report -> logger.atWarning().log("event=settings_refused detail=\"%s\"", report));
      return;
    }
    logger.atInfo().log("event=settings_reloaded file=%s", file);
  }
}
