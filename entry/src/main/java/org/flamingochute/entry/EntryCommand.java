package org.flamingochute.entry;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.settings.SettingsReader;
import org.flamingochute.schema.EntrySettings;

/** Executes a command line of the entry. Ending the Java process is left to the caller. */
final class EntryCommand {
  static final int EXIT_OK = 0;
  static final int EXIT_CANNOT_START = 1;
  static final int EXIT_USAGE = 2;

  private static final String NAME = "flamingochute-entry";
  private static final String DEVELOPMENT_VERSION = "development";

  private final EntryNodeFactory nodeFactory;
  private final PrintStream output;
  private final PrintStream errorOutput;
  private final Consumer<EntryProcess> startListener;

  /**
   * Creates a command.
   *
   * @param nodeFactory creates the node
   * @param output receives the requested output
   * @param errorOutput receives the errors, one per line
   * @param startListener called with the process after it was started
   */
  EntryCommand(
      EntryNodeFactory nodeFactory,
      PrintStream output,
      PrintStream errorOutput,
      Consumer<EntryProcess> startListener) {
    this.nodeFactory = nodeFactory;
    this.output = output;
    this.errorOutput = errorOutput;
    this.startListener = startListener;
  }

  /**
   * Executes a command line.
   *
   * @return the exit code, or empty when an entry was started and is running
   */
  Optional<Integer> execute(String... arguments) {
    Either<ErrorReport, EntryCommandLine> commandLine = EntryCommandLine.parse(arguments);
    if (commandLine.isLeft()) {
      return Optional.of(reportErrors(EXIT_USAGE, List.of(commandLine.getLeft())));
    }
    return switch (commandLine.get()) {
      case EntryCommandLine.Help help -> {
        output.print(EntryCommandLine.help());
        yield Optional.of(EXIT_OK);
      }
      case EntryCommandLine.Version version -> {
        output.println(NAME + " " + version());
        yield Optional.of(EXIT_OK);
      }
      case EntryCommandLine.Check check -> Optional.of(checkSettings(check.settingsFile()));
      case EntryCommandLine.Run run -> runEntry(run.settingsFile());
    };
  }

  private static String version() {
    String version = EntryCommand.class.getPackage().getImplementationVersion();
    return version == null ? DEVELOPMENT_VERSION : version;
  }

  private int checkSettings(String file) {
    Either<List<ErrorReport>, ResolvedSettings> settings = readSettings(file);
    if (settings.isLeft()) {
      return reportErrors(EXIT_USAGE, settings.getLeft());
    }
    output.println(file + ": valid");
    return EXIT_OK;
  }

  private Optional<Integer> runEntry(String file) {
    Either<List<ErrorReport>, ResolvedSettings> settings = readSettings(file);
    if (settings.isLeft()) {
      return Optional.of(reportErrors(EXIT_USAGE, settings.getLeft()));
    }
    Either<ErrorReport, EntryProcess> process = EntryProcess.start(settings.get(), nodeFactory);
    if (process.isLeft()) {
      return Optional.of(reportErrors(EXIT_CANNOT_START, List.of(process.getLeft())));
    }
    startListener.accept(process.get());
    return Optional.empty();
  }

  private static Either<List<ErrorReport>, ResolvedSettings> readSettings(String file) {
    String text;
    try {
      text = Files.readString(Path.of(file));
    } catch (IOException | InvalidPathException e) {
      return Either.left(
          List.of(ErrorReport.of(ErrorCode.SETTINGS_UNREADABLE, file, e.toString())));
    }
    return new SettingsReader<>(EntrySettings.getDefaultInstance())
        .read(file, text)
        .flatMap(settings -> ResolvedSettings.of(settings).mapLeft(List::of));
  }

  private int reportErrors(int exitCode, List<ErrorReport> reports) {
    reports.forEach(report -> errorOutput.println("error: " + report));
    return exitCode;
  }
}
