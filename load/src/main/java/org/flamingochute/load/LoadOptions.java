package org.flamingochute.load;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;

/** The options of {@code flamingochute-load}. */
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
      throughput  sends requests as fast as a number of concurrent callers can
      summary     compares what callers saw with what the stand-ins saw

        --entries LIST  IP addresses and ports of the entries, separated by commas
        --direct ADDRESS  IP address and port of a runner to call without an entry
        --settings FILE  INI file with the traffic
        --seed N        seed of the arrival times and run times; default 1
        --count N       ends each class of calls after N calls
        --report FILE   writes what callers saw as JSON
        --callers FILE  report of the load tool
        --endpoints FILE  report of the stand-in runners and workers
        --fleet FILE    fleet description with the caps in force
        --help          show this text

      exit codes: 0 all kept, 1 a promise was broken or almost nothing was answered,
                  2 wrong command line or settings
      """;

  private static final String[] WITH_VALUE = {
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

  /** Returns the options for the parser. */
  static Options all() {
    Options options = new Options().addOption(Option.builder().longOpt("help").get());
    for (String name : WITH_VALUE) {
      options.addOption(Option.builder().longOpt(name).hasArg().get());
    }
    return options;
  }

  /** Returns the value of an option that must be given. */
  static String required(CommandLine line, String name) throws LoadException {
    String value = line.getOptionValue(name);
    if (value == null) {
      throw new LoadException(ErrorReport.of(ErrorCode.COMMAND_LINE, "--" + name + " is needed"));
    }
    return value;
  }

  /** Returns a whole number that is not negative, or a default when the option is absent. */
  static long number(CommandLine line, String name, long defaultValue) throws LoadException {
    String value = line.getOptionValue(name, Long.toString(defaultValue));
    try {
      long number = Long.parseLong(value);
      if (number >= 0) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Reported below together with negative numbers.
    }
    throw new LoadException(
        ErrorReport.of(
            ErrorCode.COMMAND_LINE,
            "--" + name + ": value \"" + value + "\" is not a number of at least 0"));
  }
}
