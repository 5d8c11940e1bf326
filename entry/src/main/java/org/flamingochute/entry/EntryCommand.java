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

/** Carries out a command line of the entry, apart from the process's own end. */
final class EntryCommand {
  static final int EXIT_OK = 0;
  static final int EXIT_CANNOT_START = 1;
  static final int EXIT_USAGE = 2;

  private static final String NAME = "flamingochute-entry";
  private static final String UNVERSIONED = "development";

  private final EntryNodeFactory factory;
  private final PrintStream output;
  private final PrintStream errors;
  private final Consumer<EntryProcess> whenStarted;

  /**
   * Creates a command.
   *
   * @param factory creates the node
   * @param output receives what was asked for
   * @param errors receives errors, one a line
   * @param whenStarted receives the process that was started
   */
  EntryCommand(
      EntryNodeFactory factory,
      PrintStream output,
      PrintStream errors,
      Consumer<EntryProcess> whenStarted) {
    this.factory = factory;
    this.output = output;
    this.errors = errors;
    this.whenStarted = whenStarted;
  }

  /**
   * Carries out a command line.
   *
   * @return the exit code, or empty when an entry is running now
   */
  Optional<Integer> execute(String... arguments) {
    Either<ErrorReport, EntryCommandLine> line = EntryCommandLine.parse(arguments);
    if (line.isLeft()) {
      return Optional.of(fail(EXIT_USAGE, List.of(line.getLeft())));
    }
    return switch (line.get()) {
      case EntryCommandLine.Help help -> {
        output.print(EntryCommandLine.help());
        yield Optional.of(EXIT_OK);
      }
      case EntryCommandLine.Version version -> {
        output.println(NAME + " " + version());
        yield Optional.of(EXIT_OK);
      }
      case EntryCommandLine.Check check -> Optional.of(check(check.settingsFile()));
      case EntryCommandLine.Run run -> run(run.settingsFile());
    };
  }

  private static String version() {
    String version = EntryCommand.class.getPackage().getImplementationVersion();
    return version == null ? UNVERSIONED : version;
  }

  private int check(String file) {
    Either<List<ErrorReport>, ResolvedSettings> settings = read(file);
    if (settings.isLeft()) {
      return fail(EXIT_USAGE, settings.getLeft());
    }
    output.println(file + ": valid");
    return EXIT_OK;
  }

  private Optional<Integer> run(String file) {
    Either<List<ErrorReport>, ResolvedSettings> settings = read(file);
    if (settings.isLeft()) {
      return Optional.of(fail(EXIT_USAGE, settings.getLeft()));
    }
    Either<ErrorReport, EntryProcess> process = EntryProcess.start(settings.get(), factory);
    if (process.isLeft()) {
      return Optional.of(fail(EXIT_CANNOT_START, List.of(process.getLeft())));
    }
    whenStarted.accept(process.get());
    return Optional.empty();
  }

  private static Either<List<ErrorReport>, ResolvedSettings> read(String file) {
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

  private int fail(int exitCode, List<ErrorReport> reports) {
    reports.forEach(report -> errors.println("error: " + report));
    return exitCode;
  }
}
