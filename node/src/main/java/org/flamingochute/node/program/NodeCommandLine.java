package org.flamingochute.node.program;

import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;

/** What the command line asks for. */
sealed interface NodeCommandLine {

  /** Print the help. */
  record Help() implements NodeCommandLine {}

  /**
   * Check the settings and end.
   *
   * @param settingsFile name of the settings file
   */
  record Check(String settingsFile) implements NodeCommandLine {}

  /**
   * Run a node.
   *
   * @param settingsFile name of the settings file
   */
  record Run(String settingsFile) implements NodeCommandLine {}

  /** Text of the help. */
  String HELP =
      """
      usage: flamingochute-node [--settings FILE] [--check]
      Runs one node on an entry instance: takes jobs in, and schedules them when it leads.
        -s, --settings FILE  settings file in INI form; default: the path in FLAMINGOCHUTE_BOOT
        -c, --check          check the settings and exit with 0 when they are valid, else with 2
        -h, --help           print this help and exit
      """;

  /**
   * Parses the arguments.
   *
   * @param defaultFile settings file when none is named; null for none
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
      return Either.right(new Help());
    }
    if (!line.getArgList().isEmpty()) {
      String problem = "unexpected argument \"" + line.getArgList().getFirst() + "\"";
      return Either.left(ErrorReport.of(ErrorCode.COMMAND_LINE, problem));
    }
    String file = line.getOptionValue("settings", defaultFile);
    if (file == null) {
      return Either.left(ErrorReport.of(ErrorCode.COMMAND_LINE, "--settings is missing"));
    }
    return Either.right(line.hasOption("check") ? new Check(file) : new Run(file));
  }

  private static Options options() {
    return new Options()
        .addOption(Option.builder("s").longOpt("settings").hasArg().get())
        .addOption(Option.builder("c").longOpt("check").get())
        .addOption(Option.builder("h").longOpt("help").get());
  }
}
