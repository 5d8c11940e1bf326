package org.flamingochute.control;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.commons.cli.CommandLine;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.fleet.FleetDescriptionParser;
import org.flamingochute.schema.FleetDescription;

/**
 * What a command works with.
 *
 * @param line the parsed command line; the first argument is the command
 * @param client reaches the entries
 * @param randomIdentifiers gives texts that nobody can guess, for keys and patch ids
 */
public record CommandContext(
    CommandLine line, OperatorClient client, Supplier<String> randomIdentifiers) {

  /** Returns the one argument after the command. */
  public Either<ControlError, String> argument(String label) {
    List<String> arguments = line.getArgList();
    if (arguments.size() != 2) {
      return Either.left(
          new ControlError.Usage(
              arguments.get(0) + " needs one argument: " + label + ", not " + arguments.size()));
    }
    return Either.right(arguments.get(1));
  }

  /** Checks that nothing stands after the command. */
  public Either<ControlError, Void> noArgument() {
    List<String> arguments = line.getArgList();
    if (arguments.size() != 1) {
      return Either.left(
          new ControlError.Usage(
              arguments.get(0) + " takes no argument, but was given \"" + arguments.get(1) + "\""));
    }
    return Either.right(null);
  }

  /** Returns the description in the file that the command's argument names. */
  public Either<ControlError, FleetDescription> descriptionFile() {
    return argument("FILE").flatMap(CommandContext::readDescription);
  }

  private static Either<ControlError, FleetDescription> readDescription(String file) {
    String text;
    try {
      text = Files.readString(Path.of(file));
    } catch (IOException e) {
      return Either.left(
          new ControlError.Usage(ErrorReport.of(ErrorCode.SETTINGS_UNREADABLE, file, e).message()));
    }
    return new FleetDescriptionParser()
        .parse(file, text)
        .mapLeft(
            reports ->
                new ControlError.InvalidDescription(
                    reports.stream().map(ErrorReport::toString).toList()));
  }

  /** Returns a number that is not negative. */
  public Either<ControlError, Long> number(String option) {
    String value = line.getOptionValue(option);
    if (value == null) {
      return Either.left(new ControlError.Usage("--" + option + " is needed"));
    }
    try {
      long number = Long.parseLong(value);
      if (number >= 0) {
        return Either.right(number);
      }
    } catch (NumberFormatException e) {
      // Reported below together with negative numbers.
    }
    return Either.left(
        new ControlError.Usage(
            "--" + option + ": value \"" + value + "\" is not a version number"));
  }

  /** Returns the value of an option. */
  public Optional<String> option(String name) {
    return Optional.ofNullable(line.getOptionValue(name));
  }

  /** Tells whether the output is for programs. */
  public boolean isJson() {
    return line.hasOption("json");
  }

  /** Returns the operator's name. */
  public String operator() {
    return line.getOptionValue("operator", "");
  }
}
