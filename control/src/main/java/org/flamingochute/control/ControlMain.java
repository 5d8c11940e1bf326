package org.flamingochute.control;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.flamingochute.platform.http.EventLoopGroup;
import org.flamingochute.platform.http.ExchangeClient;
import org.flamingochute.platform.http.ExchangeLimits;
import org.flamingochute.platform.http.ExchangeListener;
import org.flamingochute.platform.http.NumericAddress;

/** Main class of {@code flamingochute-control}. */
public final class ControlMain {

  /** Environment variable that holds the operator's key. */
  public static final String OPERATOR_KEY_VARIABLE = "FLAMINGOCHUTE_OPERATOR_KEY";

  private static final int IDENTIFIER_BYTES = 24;
  private static final int MAXIMUM_RESPONSE_BYTES = 64 * 1024 * 1024;
  private static final Duration HISTORY_LOOKUP_INTERVAL = Duration.ofMillis(500);

  private static final String USAGE =
      """
      usage: flamingochute-control COMMAND [options]

        validate FILE         validate a description file without contacting an entry
        diff FILE             show the changes from the description in force to FILE
        apply FILE --base N   apply FILE as a patch; version N must be in force
        show                  show the description in force
        history               show the audit trail, including refused patches
        status                show entries, pools, teams, planned stops and waves
        grant TEAM            create a key for a team and print it once
        withdraw KEY-ID       revoke a key

        --entry IP:PORT       address of an entry; may be repeated, the next one is used if
                              an entry is unavailable
        --operator NAME       the operator's name
        --key-file FILE       file with the operator's key; default: the environment
                              variable FLAMINGOCHUTE_OPERATOR_KEY
        --reason TEXT         reason for the audit trail
        --key-id ID           id of the key to grant; default: generated
        --patch ID            show only this patch in the history
        --json                print JSON
        --help                print this help

      exit codes: 0 success, 1 refused, 2 invalid command line, 3 invalid description,
                  4 stale base, 5 not allowed, 6 no entry reachable (nothing changed),
                  7 unknown outcome (search for the patch in the history)
      """;

  private static final Options OPTIONS =
      new Options()
          .addOption(Option.builder().longOpt("entry").hasArg().get())
          .addOption(Option.builder().longOpt("operator").hasArg().get())
          .addOption(Option.builder().longOpt("key-file").hasArg().get())
          .addOption(Option.builder().longOpt("base").hasArg().get())
          .addOption(Option.builder().longOpt("reason").hasArg().get())
          .addOption(Option.builder().longOpt("key-id").hasArg().get())
          .addOption(Option.builder().longOpt("patch").hasArg().get())
          .addOption(Option.builder().longOpt("json").get())
          .addOption(Option.builder().longOpt("help").get());

  private static final SecureRandom RANDOM = new SecureRandom();

  private final CommandRegistry commands = new CommandRegistry();
  private final Map<String, String> environment;

  private ControlMain(Map<String, String> environment) {
    this.environment = environment;
  }

  /** Returns the command-line options. */
  static Options options() {
    return OPTIONS;
  }

  /** Runs the program. */
  public static void main(String[] arguments) {
    System.exit(run(arguments, System.getenv(), System.out, System.err));
  }

  /**
   * Runs the program.
   *
   * @param environment environment variables
   * @return the exit code
   */
  public static int run(
      String[] arguments, Map<String, String> environment, PrintStream output, PrintStream errors) {
    Either<ControlError, String> result = new ControlMain(environment).execute(arguments);
    if (result.isRight()) {
      output.print(result.get());
      output.flush();
      return ExitCode.OK.number();
    }
    result.getLeft().lines().forEach(errors::println);
    return result.getLeft().exitCode().number();
  }

  private Either<ControlError, String> execute(String[] arguments) {
    CommandLine commandLine;
    try {
      commandLine = new DefaultParser().parse(OPTIONS, arguments);
    } catch (ParseException e) {
      return Either.left(new ControlError.Usage(e.getMessage()));
    }
    if (commandLine.hasOption("help")) {
      return Either.right(USAGE);
    }
    if (commandLine.getArgList().isEmpty()) {
      return Either.left(new ControlError.Usage("a command is required: " + commands.names()));
    }
    String name = commandLine.getArgList().get(0);
    Optional<Command> command = commands.find(name);
    if (command.isEmpty()) {
      return Either.left(
          new ControlError.Usage(
              "unknown command \"" + name + "\", known commands: " + commands.names()));
    }
    return commands.needsEntry(name)
        ? runRemote(commandLine, command.get())
        : runLocal(commandLine, command.get());
  }

  private static Either<ControlError, String> runLocal(CommandLine commandLine, Command command) {
    OperatorClient unconnectedClient = new EntryOperatorClient(List.of(), HISTORY_LOOKUP_INTERVAL);
    return command.run(
        new CommandContext(commandLine, unconnectedClient, ControlMain::randomIdentifier));
  }

  private Either<ControlError, String> runRemote(CommandLine commandLine, Command command) {
    Either<ControlError, List<NumericAddress>> addresses = parseEntryAddresses(commandLine);
    if (addresses.isLeft()) {
      return Either.left(addresses.getLeft());
    }
    if (!commandLine.hasOption("operator")) {
      return Either.left(new ControlError.Usage("--operator is required"));
    }
    Either<ControlError, String> key = readOperatorKey(commandLine);
    if (key.isLeft()) {
      return Either.left(key.getLeft());
    }
    ExchangeLimits limits =
        ExchangeLimits.builder().maximumResponseBytes(MAXIMUM_RESPONSE_BYTES).build();
    try (EventLoopGroup group = EventLoopGroup.start("control", 1);
        ExchangeClient client = new ExchangeClient(group, limits, ExchangeListener.NONE)) {
      List<EntryConnection> entries = new ArrayList<>();
      for (NumericAddress address : addresses.get()) {
        entries.add(
            new HttpEntryConnection(
                client, address, commandLine.getOptionValue("operator"), key.get()));
      }
      OperatorClient operatorClient = new EntryOperatorClient(entries, HISTORY_LOOKUP_INTERVAL);
      return command.run(
          new CommandContext(commandLine, operatorClient, ControlMain::randomIdentifier));
    }
  }

  private static Either<ControlError, List<NumericAddress>> parseEntryAddresses(
      CommandLine commandLine) {
    String[] values = commandLine.getOptionValues("entry");
    if (values == null) {
      return Either.left(new ControlError.Usage("--entry is required"));
    }
    List<NumericAddress> addresses = new ArrayList<>();
    for (String value : values) {
      Optional<NumericAddress> address = NumericAddress.parse(value);
      if (address.isEmpty()) {
        return Either.left(
            new ControlError.Usage(
                "--entry: value \"" + value + "\" is not an IP address and port"));
      }
      addresses.add(address.get());
    }
    return Either.right(addresses);
  }

  private Either<ControlError, String> readOperatorKey(CommandLine commandLine) {
    String file = commandLine.getOptionValue("key-file");
    if (file != null) {
      try {
        return Either.right(Files.readString(Path.of(file)).strip());
      } catch (IOException e) {
        return Either.left(new ControlError.Usage("--key-file: " + file + ": " + e));
      }
    }
    String key = environment.get(OPERATOR_KEY_VARIABLE);
    if (key == null || key.isEmpty()) {
      return Either.left(
          new ControlError.Usage(
              "--key-file or the environment variable " + OPERATOR_KEY_VARIABLE + " is required"));
    }
    return Either.right(key);
  }

  /** Returns 192 random bits in hexadecimal digits. */
  private static String randomIdentifier() {
    byte[] bytes = new byte[IDENTIFIER_BYTES];
    RANDOM.nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }
}
