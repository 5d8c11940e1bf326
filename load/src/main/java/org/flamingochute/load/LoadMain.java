package org.flamingochute.load;

import io.vavr.control.Either;
import java.io.PrintStream;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.ParseException;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.fleet.FleetDescriptionParser;
import org.flamingochute.decision.settings.SettingsReader;
import org.flamingochute.schema.CallKind;
import org.flamingochute.schema.CallerReport;
import org.flamingochute.schema.EndpointReport;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.TrafficSettings;

/** The program {@code flamingochute-load}. */
public final class LoadMain {

  /** Exit code when a promise was broken. */
  public static final int EXIT_BROKEN = 1;

  /** Exit code for a wrong command line or wrong settings. */
  public static final int EXIT_USAGE = 2;

  private static final int DEFAULT_THREADS = 2;
  private static final int DEFAULT_CONCURRENCY = 64;
  private static final int DEFAULT_DURATION_MILLISECONDS = 5000;
  private static final int DEFAULT_ANSWER_BYTES = 256;
  private static final long CALL_TIMEOUT_MILLISECONDS = 5000;
  private static final double MILLISECONDS_IN_SECOND = 1000;

  private final PrintStream output;

  private LoadMain(PrintStream output) {
    this.output = output;
  }

  /** Runs the program. */
  public static void main(String[] arguments) throws InterruptedException {
    System.exit(run(arguments, System.out, System.err));
  }

  /**
   * Runs the program.
   *
   * @return the exit code
   */
  static int run(String[] arguments, PrintStream output, PrintStream errors)
      throws InterruptedException {
    try {
      CommandLine line = new DefaultParser().parse(LoadOptions.all(), arguments);
      if (line.hasOption("help")) {
        output.print(LoadOptions.USAGE);
        return 0;
      }
      return new LoadMain(output).run(line);
    } catch (ParseException e) {
      errors.println(ErrorReport.of(ErrorCode.COMMAND_LINE, e.getMessage()));
      return EXIT_USAGE;
    } catch (LoadException e) {
      e.reports().forEach(errors::println);
      return EXIT_USAGE;
    }
  }

  private int run(CommandLine line) throws LoadException, InterruptedException {
    List<String> commands = line.getArgList();
    String command = commands.size() == 1 ? commands.get(0) : "";
    return switch (command) {
      case "traffic" -> traffic(line);
      case "throughput" -> throughput(line);
      case "summary" -> summary(line);
      default ->
          throw new LoadException(
              ErrorReport.of(
                  ErrorCode.COMMAND_LINE,
                  "one of traffic, throughput and summary is needed, not " + commands));
    };
  }

  private int traffic(CommandLine line) throws LoadException, InterruptedException {
    String file = LoadOptions.required(line, "settings");
    TrafficSettings settings = readSettings(file);
    final long seed = LoadOptions.number(line, "seed", 1);
    final long count = LoadOptions.number(line, "count", Long.MAX_VALUE);
    CallRecorder recorder = new CallRecorder(true);
    try (LoadClients clients =
        LoadClients.create(LoadOptions.required(line, "entries"), DEFAULT_THREADS)) {
      clients.startProbes();
      RequestCaller requests =
          new RequestCaller(
              clients.balancer(),
              new HttpCallSender(clients.client(), "/services/"),
              clients.timers(),
              recorder,
              settings.getTraffic().getMostTries());
      JobCaller jobs =
          new JobCaller(clients.balancer(), clients.client(), clients.timers(), recorder);
      String prefix = "s" + seed + "-" + clients.timers().wallMilliseconds() + "-";
      TrafficRun run =
          new TrafficRun(settings, seed, prefix, clients.timers(), requests, jobs, recorder);
      run.setCallLimit(count);
      return finish(line, run.run());
    }
  }

  private static TrafficSettings readSettings(String file) throws LoadException {
    Either<List<ErrorReport>, TrafficSettings> settings =
        new SettingsReader<>(TrafficSettings.getDefaultInstance())
            .read(file, MessageFiles.readText(file));
    if (settings.isLeft()) {
      throw new LoadException(settings.getLeft());
    }
    return settings.get();
  }

  private int throughput(CommandLine line) throws LoadException, InterruptedException {
    boolean direct = line.hasOption("direct");
    String addresses = LoadOptions.required(line, direct ? "direct" : "entries");
    String service = direct ? "" : LoadOptions.required(line, "service");
    int threads = (int) Math.max(1, LoadOptions.number(line, "threads", DEFAULT_THREADS));
    CallRecorder recorder = new CallRecorder(false);
    try (LoadClients clients = LoadClients.create(addresses, threads)) {
      Call template =
          new Call(
              "t" + clients.timers().wallMilliseconds() + "-",
              CallKind.CALL_INTERACTIVE,
              service,
              line.getOptionValue("team", ""),
              line.getOptionValue("key", ""),
              (int) LoadOptions.number(line, "answer-bytes", DEFAULT_ANSWER_BYTES),
              CALL_TIMEOUT_MILLISECONDS);
      ThroughputRun run =
          new ThroughputRun(
              template,
              clients.balancer(),
              new HttpCallSender(clients.client(), direct ? "/" : "/services/"),
              clients.timers(),
              recorder);
      int concurrency = (int) LoadOptions.number(line, "concurrency", DEFAULT_CONCURRENCY);
      long duration =
          LoadOptions.number(line, "duration-milliseconds", DEFAULT_DURATION_MILLISECONDS);
      return finish(line, run.run(concurrency, duration));
    }
  }

  private int finish(CommandLine line, CallerReport report) throws LoadException {
    if (line.hasOption("report")) {
      MessageFiles.write(line.getOptionValue("report"), report);
    }
    output.println(lineOf(report));
    return report.getCrossed() == 0 ? 0 : EXIT_BROKEN;
  }

  private static String lineOf(CallerReport report) {
    double seconds = report.getDurationMilliseconds() / MILLISECONDS_IN_SECOND;
    return "event=load_summary requests=%d answered=%d not_run=%d unknown=%d crossed=%d jobs=%d"
            .formatted(
                report.getRequests(),
                report.getAnswered(),
                report.getNotRun(),
                report.getUnknown(),
                report.getCrossed(),
                report.getJobsCount())
        + " answered_per_second=%.0f p50_us=%d p90_us=%d p99_us=%d maximum_us=%d"
            .formatted(
                report.getAnswered() / seconds,
                report.getLatency().getP50Microseconds(),
                report.getLatency().getP90Microseconds(),
                report.getLatency().getP99Microseconds(),
                report.getLatency().getMaximumMicroseconds());
  }

  private int summary(CommandLine line) throws LoadException {
    CallerReport callers =
        MessageFiles.read(LoadOptions.required(line, "callers"), CallerReport.newBuilder()).build();
    EndpointReport endpoints =
        MessageFiles.read(LoadOptions.required(line, "endpoints"), EndpointReport.newBuilder())
            .build();
    String fleetFile = LoadOptions.required(line, "fleet");
    Either<List<ErrorReport>, FleetDescription> fleet =
        new FleetDescriptionParser().parse(fleetFile, MessageFiles.readText(fleetFile));
    if (fleet.isLeft()) {
      throw new LoadException(fleet.getLeft());
    }
    DemoSummary.Result result = new DemoSummary(callers, endpoints, fleet.get()).compare();
    result.findings().forEach(output::println);
    output.println(result.line());
    return result.isGood() ? 0 : EXIT_BROKEN;
  }
}
