package org.flamingochute.node.program;

import io.vavr.control.Either;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;

/** The parsed command line. */
sealed interface NodeCommandLine {

  /** Prints the help. */
  record ShowHelp() implements NodeCommandLine {}

  /**
   * Checks the settings and exits.
   *
   * @param settingsFile name of the settings file
   */
  record CheckSettings(String settingsFile) implements NodeCommandLine {}

  /**
   * Checks a declaration and exits.
   *
   * @param file name of the declaration's file
   * @param inForceFile name of a file with the declaration in force
   */
  record CheckDeclaration(String file, Optional<String> inForceFile) implements NodeCommandLine {}

  /**
   * Runs a node.
   *
   * @param settingsFile name of the settings file
   */
  record RunNode(String settingsFile) implements NodeCommandLine {}

  /** The help text. */
  String HELP =
      """
      usage: flamingochute-node [--settings FILE] [--check]
             flamingochute-node --check-declaration FILE [--in-force FILE]
      Runs one node on an entry instance: accepts jobs, and schedules them while it is the leader.
        -s, --settings FILE  settings file in INI form; default: the path in FLAMINGOCHUTE_BOOT
        -c, --check          check the settings and exit with 0 when they are valid, else with 2
        --check-declaration FILE
                             check a declaration in JSON form before it is sent, and exit with 0
                             without findings, 1 with warnings or differences only, 2 with errors,
                             or 3 when a file cannot be read
        --in-force FILE      the declaration in force, to show what differs from it
        -h, --help           print this help and exit
      """;

  /**
   * Parses the arguments.
   *
   * @param defaultFile settings file if none is given; null for none
   */
  static Either<ErrorReport, NodeCommandLine> parse(String[] arguments, String defaultFile) {
    CommandLine line;
    try {
      line =
          DefaultParser.builder().setAllowPartialMatching(false).get().parse(options(), arguments);
    } catch (ParseException e) {
      return Either.left(ErrorReport.of(ErrorCode.COMMAND_LINE, e.getMessage()));
    }
    if (line.hasOption("help")) {
      return Either.right(new ShowHelp());
    }
    if (!line.getArgList().isEmpty()) {
      String problem = "unexpected argument \"" + line.getArgList().getFirst() + "\"";
      return Either.left(ErrorReport.of(ErrorCode.COMMAND_LINE, problem));
    }
    if (line.hasOption("check-declaration") || line.hasOption("in-force")) {
      return parseDeclarationCheck(line);
    }
    String file = line.getOptionValue("settings", defaultFile);
    if (file == null) {
      return Either.left(ErrorReport.of(ErrorCode.COMMAND_LINE, "--settings is required"));
    }
    return Either.right(line.hasOption("check") ? new CheckSettings(file) : new RunNode(file));
  }

  private static Either<ErrorReport, NodeCommandLine> parseDeclarationCheck(CommandLine line) {
    if (!line.hasOption("check-declaration")) {
      String problem = "--in-force requires --check-declaration";
      return Either.left(ErrorReport.of(ErrorCode.COMMAND_LINE, problem));
    }
    if (line.hasOption("settings") || line.hasOption("check")) {
      String problem = "--check-declaration allows neither --settings nor --check";
      return Either.left(ErrorReport.of(ErrorCode.COMMAND_LINE, problem));
    }
    return Either.right(
        new CheckDeclaration(
            line.getOptionValue("check-declaration"),
            Optional.ofNullable(line.getOptionValue("in-force"))));
  }

  private static Options options() {
    return new Options()
        .addOption(Option.builder("s").longOpt("settings").hasArg().get())
        .addOption(Option.builder("c").longOpt("check").get())
        .addOption(Option.builder().longOpt("check-declaration").hasArg().get())
        .addOption(Option.builder().longOpt("in-force").hasArg().get())
        .addOption(Option.builder("h").longOpt("help").get());
  }
}
