package org.flamingochute.node.program;

import io.vavr.control.Either;
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
   * Runs a node.
   *
   * @param settingsFile name of the settings file
   */
  record RunNode(String settingsFile) implements NodeCommandLine {}

  /** The help text. */
  String HELP =
      """
      usage: flamingochute-node [--settings FILE] [--check]
      Runs one node on an entry instance: accepts jobs, and schedules them while it is the leader.
        -s, --settings FILE  settings file in INI form; default: the path in FLAMINGOCHUTE_BOOT
        -c, --check          check the settings and exit with 0 when they are valid, else with 2
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
    String file = line.getOptionValue("settings", defaultFile);
    if (file == null) {
      return Either.left(ErrorReport.of(ErrorCode.COMMAND_LINE, "--settings is required"));
    }
    return Either.right(line.hasOption("check") ? new CheckSettings(file) : new RunNode(file));
  }

  private static Options options() {
    return new Options()
        .addOption(Option.builder("s").longOpt("settings").hasArg().get())
        .addOption(Option.builder("c").longOpt("check").get())
        .addOption(Option.builder("h").longOpt("help").get());
  }
}
