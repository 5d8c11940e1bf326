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

/** The program {@code flamingochute-standin}. */
public final class StandInMain {

  /** Exit code for a wrong command line or wrong settings. */
  public static final int EXIT_USAGE = 2;

  /** Exit code when the process cannot start. */
  public static final int EXIT_FAILED = 1;

  private static final String USAGE =
      """
      usage: flamingochute-standin platform --settings FILE
             flamingochute-standin endpoints --settings FILE

      platform   the platform's log, instance list and pool operations
      endpoints  runners and workers, registered at a platform stand-in

        --settings FILE  INI file with the settings
        --check          read the settings and exit
        --help           show this text
      """;

  private static final Options OPTIONS =
      new Options()
          .addOption(Option.builder().longOpt("settings").hasArg().get())
          .addOption(Option.builder().longOpt("check").get())
          .addOption(Option.builder().longOpt("help").get());

  private StandInMain() {}

  /** Runs the program until the process is ended. */
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
      CommandLine line = new DefaultParser().parse(OPTIONS, arguments);
      if (line.hasOption("help")) {
        output.print(USAGE);
        return 0;
      }
      return run(line);
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

  private static int run(CommandLine line)
      throws ParseException, SettingsException, StandInException, InterruptedException {
    List<String> kinds = line.getArgList();
    String file = line.getOptionValue("settings");
    if (kinds.size() != 1 || file == null) {
      throw new ParseException("one of platform and endpoints, and --settings FILE, are needed");
    }
    boolean check = line.hasOption("check");
    switch (kinds.get(0)) {
      case "platform" -> {
        StandInSettings settings = read(file, StandInSettings.getDefaultInstance());
        if (!check) {
          PlatformStandIn.start(settings.getPlatform());
        }
      }
      case "endpoints" -> {
        EndpointStandInSettings settings = read(file, EndpointStandInSettings.getDefaultInstance());
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

  private static <M extends Message> M read(String file, M prototype) throws SettingsException {
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

  /** The settings have errors. */
  private static final class SettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient List<ErrorReport> reports;

    private SettingsException(List<ErrorReport> reports) {
      super(reports.toString());
      this.reports = reports;
    }
  }
}
