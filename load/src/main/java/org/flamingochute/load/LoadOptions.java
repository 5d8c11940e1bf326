package org.flamingochute.load;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;

/** Command-line options of {@code flamingochute-load}. */
final class LoadOptions {

  static final String USAGE =
      """
      usage: flamingochute-load traffic --entries LIST --settings FILE [--seed N] [--report FILE]
                                        [--count N]
             flamingochute-load throughput --entries LIST --service NAME [--key KEY] [--team NAME]
                                        [--concurrency N] [--duration-milliseconds N]
                                        [--answer-bytes N] [--threads N] [--report FILE]
             flamingochute-load throughput --direct ADDRESS [...]
             flamingochute-load summary --callers FILE --endpoints FILE --fleet FILE

      traffic     sends the requests, orders and jobs of a settings file
      throughput  sends requests from concurrent callers at the maximum rate
      summary     compares the report of the callers with that of the stand-ins

        --entries LIST  comma-separated IP addresses and ports of the entries
        --direct ADDRESS  IP address and port of a runner to call without an entry
        --settings FILE  INI file with the traffic
        --seed N        seed of the arrival times and run times; default 1
        --count N       stops each class of calls after N calls
        --report FILE   writes the report of the callers as JSON
        --callers FILE  report of the load tool
        --endpoints FILE  report of the stand-in runners and workers
        --fleet FILE    fleet description with the caps in force
        --help          print this help

      exit codes: 0 success, 1 a guarantee was violated or too few requests were answered,
                  2 invalid command line or settings
      """;

  private static final String[] OPTIONS_WITH_VALUE = {
    "entries",
    "direct",
    "settings",
    "seed",
    "count",
    "report",
    "service",
    "key",
    "team",
    "concurrency",
    "duration-milliseconds",
    "answer-bytes",
    "threads",
    "callers",
    "endpoints",
    "fleet"
  };

  private LoadOptions() {}

  /** Returns the command-line options. */
  static Options createOptions() {
    Options options = new Options().addOption(Option.builder().longOpt("help").get());
    for (String name : OPTIONS_WITH_VALUE) {
      options.addOption(Option.builder().longOpt(name).hasArg().get());
    }
    return options;
  }

  /** Returns the value of a required option. */
  static String requiredValue(CommandLine commandLine, String name) throws LoadException {
    String value = commandLine.getOptionValue(name);
    if (value == null) {
      throw new LoadException(ErrorReport.of(ErrorCode.COMMAND_LINE, "--" + name + " is required"));
    }
    return value;
  }

  /** Returns the value of a non-negative integer option, or a default value if it is absent. */
  static long nonNegativeNumber(CommandLine commandLine, String name, long defaultValue)
      throws LoadException {
    String value = commandLine.getOptionValue(name, Long.toString(defaultValue));
    try {
      long number = Long.parseLong(value);
      if (number >= 0) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Reported below, like negative numbers.
    }
    throw new LoadException(
        ErrorReport.of(
            ErrorCode.COMMAND_LINE,
            "--" + name + ": value \"" + value + "\" is not a number of at least 0"));
  }
}
