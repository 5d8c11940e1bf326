package org.flamingochute.standin.http;

import com.google.protobuf.Message;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.settings.SettingsReader;
import org.flamingochute.schema.EndpointStandInSettings;
import org.flamingochute.schema.StandInSettings;

/** Main class of {@code flamingochute-standin}. */
public final class StandInMain {

  /** Exit code for an invalid command line or invalid settings. */
  public static final int EXIT_USAGE = 2;

  /** Exit code if the process cannot start. */
  public static final int EXIT_FAILED = 1;

  private static final String USAGE =
      """
      usage: flamingochute-standin platform --settings FILE
             flamingochute-standin endpoints --settings FILE

      platform   stand-in for the platform's log, instance list and pool operations
      endpoints  stand-in runners and workers, registered at a platform stand-in

        --settings FILE  INI file with the settings
        --check          validate the settings and exit
        --help           print this help
      """;

  private static final Options OPTIONS =
      new Options()
          .addOption(Option.builder().longOpt("settings").hasArg().get())
          .addOption(Option.builder().longOpt("check").get())
          .addOption(Option.builder().longOpt("help").get());

  private StandInMain() {}

  /** Runs the program until the process is terminated. */
  public static void main(String[] arguments) throws InterruptedException {
    int exitCode = run(arguments, System.out, System.err);
    if (exitCode != 0) {
      System.exit(exitCode);
    }
  }

  /**
   * Runs the program.
   *
   * @return the exit code
   */
  static int run(String[] arguments, PrintStream output, PrintStream errors)
      throws InterruptedException {
    try {
      CommandLine commandLine = new DefaultParser().parse(OPTIONS, arguments);
      if (commandLine.hasOption("help")) {
        output.print(USAGE);
        return 0;
      }
      return run(commandLine);
    } catch (ParseException e) {
      errors.println(ErrorReport.of(ErrorCode.COMMAND_LINE, e.getMessage()));
      return EXIT_USAGE;
    } catch (SettingsException e) {
      e.reports.forEach(errors::println);
      return EXIT_USAGE;
    } catch (StandInException e) {
      errors.println(e.report());
      return EXIT_FAILED;
    }
  }

  private static int run(CommandLine commandLine)
      throws ParseException, SettingsException, StandInException, InterruptedException {
    List<String> kinds = commandLine.getArgList();
    String file = commandLine.getOptionValue("settings");
    if (kinds.size() != 1 || file == null) {
      throw new ParseException("either platform or endpoints, and --settings FILE, are required");
    }
    boolean check = commandLine.hasOption("check");
    switch (kinds.get(0)) {
      case "platform" -> {
        StandInSettings settings = readSettings(file, StandInSettings.getDefaultInstance());
        if (!check) {
          PlatformStandIn.start(settings.getPlatform());
        }
      }
      case "endpoints" -> {
        EndpointStandInSettings settings =
            readSettings(file, EndpointStandInSettings.getDefaultInstance());
        if (!check) {
          EndpointStandIn.start(settings.getEndpoints());
        }
      }
      default -> throw new ParseException("unknown stand-in \"" + kinds.get(0) + "\"");
    }
    if (!check) {
      new CountDownLatch(1).await();
    }
    return 0;
  }

  private static <M extends Message> M readSettings(String file, M prototype)
      throws SettingsException {
    String text;
    try {
      text = Files.readString(Path.of(file));
    } catch (IOException e) {
      throw new SettingsException(
          List.of(ErrorReport.of(ErrorCode.SETTINGS_UNREADABLE, file, e.toString())));
    }
    Either<List<ErrorReport>, M> settings = new SettingsReader<>(prototype).read(file, text);
    if (settings.isLeft()) {
      throw new SettingsException(settings.getLeft());
    }
    return settings.get();
  }

  /** Thrown if the settings are invalid. */
  private static final class SettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient List<ErrorReport> reports;

    private SettingsException(List<ErrorReport> reports) {
      super(reports.toString());
      this.reports = reports;
    }
  }
}
