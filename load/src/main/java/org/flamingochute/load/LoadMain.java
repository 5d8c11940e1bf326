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

/** Main class of {@code flamingochute-load}. */
public final class LoadMain {

  /** Exit code if a guarantee was violated or too few requests were answered. */
  public static final int EXIT_VIOLATION = 1;

  /** Exit code for an invalid command line, invalid input or a file that cannot be written. */
  public static final int EXIT_USAGE = 2;

  private static final int DEFAULT_THREADS = 2;
  private static final int DEFAULT_CONCURRENCY = 64;
  private static final int DEFAULT_DURATION_MILLISECONDS = 5000;
  private static final int DEFAULT_RESPONSE_BYTES = 256;
  private static final long CALL_TIMEOUT_MILLISECONDS = 5000;
  private static final double MILLISECONDS_PER_SECOND = 1000;

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
      CommandLine commandLine = new DefaultParser().parse(LoadOptions.createOptions(), arguments);
      if (commandLine.hasOption("help")) {
        output.print(LoadOptions.USAGE);
        return 0;
      }
      return new LoadMain(output).run(commandLine);
    } catch (ParseException e) {
      errors.println(ErrorReport.of(ErrorCode.COMMAND_LINE, e.getMessage()));
      return EXIT_USAGE;
    } catch (LoadException e) {
      e.reports().forEach(errors::println);
      return EXIT_USAGE;
    }
  }

  private int run(CommandLine commandLine) throws LoadException, InterruptedException {
    List<String> commands = commandLine.getArgList();
    String command = commands.size() == 1 ? commands.get(0) : "";
    return switch (command) {
      case "traffic" -> runTraffic(commandLine);
      case "throughput" -> runThroughput(commandLine);
      case "summary" -> printSummary(commandLine);
      default ->
          throw new LoadException(
              ErrorReport.of(
                  ErrorCode.COMMAND_LINE,
                  "one of traffic, throughput and summary is required, not " + commands));
    };
  }

  private int runTraffic(CommandLine commandLine) throws LoadException, InterruptedException {
    String file = LoadOptions.requiredValue(commandLine, "settings");
    TrafficSettings settings = readSettings(file);
    final long seed = LoadOptions.nonNegativeNumber(commandLine, "seed", 1);
    final long callLimit = LoadOptions.nonNegativeNumber(commandLine, "count", Long.MAX_VALUE);
    CallRecorder recorder = new CallRecorder(true);
    try (LoadClients clients =
        LoadClients.create(LoadOptions.requiredValue(commandLine, "entries"), DEFAULT_THREADS)) {
      clients.startReadinessProbe();
      RequestCaller requests =
          new RequestCaller(
              clients.balancer(),
              new HttpCallSender(clients.client(), "/services/"),
              clients.timers(),
              recorder,
              settings.getTraffic().getMostTries());
      JobCaller jobs =
          new JobCaller(clients.balancer(), clients.client(), clients.timers(), recorder);
      String tagPrefix = "s" + seed + "-" + clients.timers().wallMilliseconds() + "-";
      TrafficRun run =
          new TrafficRun(settings, seed, tagPrefix, clients.timers(), requests, jobs, recorder);
      run.setCallLimit(callLimit);
      return reportResult(commandLine, run.run());
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

  private int runThroughput(CommandLine commandLine) throws LoadException, InterruptedException {
    boolean direct = commandLine.hasOption("direct");
    String addresses = LoadOptions.requiredValue(commandLine, direct ? "direct" : "entries");
    String service = direct ? "" : LoadOptions.requiredValue(commandLine, "service");
    int threads =
        (int) Math.max(1, LoadOptions.nonNegativeNumber(commandLine, "threads", DEFAULT_THREADS));
    CallRecorder recorder = new CallRecorder(false);
    try (LoadClients clients = LoadClients.create(addresses, threads)) {
      Call template =
          new Call(
              "t" + clients.timers().wallMilliseconds() + "-",
              CallKind.CALL_INTERACTIVE,
              service,
              commandLine.getOptionValue("team", ""),
              commandLine.getOptionValue("key", ""),
              (int)
                  LoadOptions.nonNegativeNumber(
                      commandLine, "answer-bytes", DEFAULT_RESPONSE_BYTES),
              CALL_TIMEOUT_MILLISECONDS);
      ThroughputRun run =
          new ThroughputRun(
              template,
              clients.balancer(),
              new HttpCallSender(clients.client(), direct ? "/" : "/services/"),
              clients.timers(),
              recorder);
      int concurrency =
          (int) LoadOptions.nonNegativeNumber(commandLine, "concurrency", DEFAULT_CONCURRENCY);
      long duration =
          LoadOptions.nonNegativeNumber(
              commandLine, "duration-milliseconds", DEFAULT_DURATION_MILLISECONDS);
      return reportResult(commandLine, run.run(concurrency, duration));
    }
  }

  private int reportResult(CommandLine commandLine, CallerReport report) throws LoadException {
    if (commandLine.hasOption("report")) {
      MessageFiles.write(commandLine.getOptionValue("report"), report);
    }
    output.println(summaryLine(report));
    return report.getCrossed() == 0 ? 0 : EXIT_VIOLATION;
  }

  private static String summaryLine(CallerReport report) {
    double seconds = report.getDurationMilliseconds() / MILLISECONDS_PER_SECOND;
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

  private int printSummary(CommandLine commandLine) throws LoadException {
    CallerReport callers =
        MessageFiles.read(
                LoadOptions.requiredValue(commandLine, "callers"), CallerReport.newBuilder())
            .build();
    EndpointReport endpoints =
        MessageFiles.read(
                LoadOptions.requiredValue(commandLine, "endpoints"), EndpointReport.newBuilder())
            .build();
    String fleetFile = LoadOptions.requiredValue(commandLine, "fleet");
    Either<List<ErrorReport>, FleetDescription> fleet =
        new FleetDescriptionParser().parse(fleetFile, MessageFiles.readText(fleetFile));
    if (fleet.isLeft()) {
      throw new LoadException(fleet.getLeft());
    }
    DemoSummary.Result result = new DemoSummary(callers, endpoints, fleet.get()).compare();
    result.findings().forEach(output::println);
    output.println(result.summaryLine());
    return result.isSuccessful() ? 0 : EXIT_VIOLATION;
  }
}
