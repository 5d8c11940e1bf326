package org.flamingochute.entry;

import io.vavr.control.Either;
import java.io.PrintWriter;
import java.io.StringWriter;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;

/** Parsed command line of the entry. */
sealed interface EntryCommandLine {

  /** Prints the help text. */
  record Help() implements EntryCommandLine {}

  /** Prints the version. */
  record Version() implements EntryCommandLine {}

  /**
   * Validates the settings and exits.
   *
   * @param settingsFile path of the settings file
   */
  record Check(String settingsFile) implements EntryCommandLine {}

  /**
   * Runs an entry.
   *
   * @param settingsFile path of the settings file
   */
  record Run(String settingsFile) implements EntryCommandLine {}

  /** Parses the arguments, or returns the first usage error. */
  static Either<ErrorReport, EntryCommandLine> parse(String[] arguments) {
    CommandLine commandLine;
    try {
      commandLine =
          DefaultParser.builder().setAllowPartialMatching(false).get().parse(options(), arguments);
    } catch (ParseException e) {
      return Either.left(ErrorReport.of(ErrorCode.COMMAND_LINE, e.getMessage()));
    }
    if (commandLine.hasOption("help")) {
      return Either.right(new Help());
    }
    if (commandLine.hasOption("version")) {
      return Either.right(new Version());
    }
    if (!commandLine.getArgList().isEmpty()) {
      String problem = "unexpected argument \"" + commandLine.getArgList().getFirst() + "\"";
      return Either.left(ErrorReport.of(ErrorCode.COMMAND_LINE, problem));
    }
    String file = commandLine.getOptionValue("settings");
    if (file == null) {
      return Either.left(ErrorReport.of(ErrorCode.COMMAND_LINE, "--settings is required"));
    }
    return Either.right(commandLine.hasOption("check") ? new Check(file) : new Run(file));
  }

  private static Options options() {
    return new Options()
        .addOption(
            Option.builder("s")
                .longOpt("settings")
                .hasArg()
                .argName("FILE")
                .desc("settings file in INI format (required)")
                .get())
        .addOption(
            Option.builder("c")
                .longOpt("check")
                .desc("validate the settings; exit with 0 if they are valid, else with 2")
                .get())
        .addOption(Option.builder("h").longOpt("help").desc("print this help and exit").get())
        .addOption(Option.builder("v").longOpt("version").desc("print the version and exit").get());
  }

  /** Returns the help text. */
  static String help() {
    StringWriter text = new StringWriter();
    PrintWriter writer = new PrintWriter(text);
    writer.println("usage: flamingochute-entry --settings FILE [--check]");
    writer.println(
        "Runs one entry, which serves requests, jobs and patches together with its peers.");
    for (Option option : options().getOptions()) {
      String name = "-" + option.getOpt() + ", --" + option.getLongOpt();
      String shown = option.hasArg() ? name + " " + option.getArgName() : name;
      writer.printf("  %-22s %s%n", shown, option.getDescription());
    }
    writer.println(
        "Exit codes: 0 stopped on request, 1 cannot start, 2 invalid command line or settings.");
    writer.flush();
    return text.toString();
  }
}
