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
 * Arguments and dependencies of a command.
 *
 * @param commandLine parsed command line; its first argument is the command
 * @param client client of the entries
 * @param identifierGenerator generates unguessable identifiers for keys and patches
 */
public record CommandContext(
    CommandLine commandLine, OperatorClient client, Supplier<String> identifierGenerator) {

  /** Returns the only argument of the command; {@code label} describes it in errors. */
  public Either<ControlError, String> argument(String label) {
    List<String> arguments = commandLine.getArgList();
    if (arguments.size() != 2) {
      return Either.left(
          new ControlError.Usage(
              arguments.get(0)
                  + " needs one argument: "
                  + label
                  + "; words given, including the command: "
                  + arguments.size()));
    }
    return Either.right(arguments.get(1));
  }

  /** Checks that the command has no arguments. */
  public Either<ControlError, Void> requireNoArgument() {
    List<String> arguments = commandLine.getArgList();
    if (arguments.size() != 1) {
      return Either.left(
          new ControlError.Usage(
              arguments.get(0) + " takes no argument, but was given \"" + arguments.get(1) + "\""));
    }
    return Either.right(null);
  }

  /** Reads the fleet description from the file given as argument. */
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

  /** Returns the value of a required option that is a version number. */
  public Either<ControlError, Long> versionOption(String option) {
    String value = commandLine.getOptionValue(option);
    if (value == null) {
      return Either.left(new ControlError.Usage("--" + option + " is required"));
    }
    try {
      long number = Long.parseLong(value);
      if (number >= 0) {
        return Either.right(number);
      }
    } catch (NumberFormatException e) {
      // Reported below, like negative numbers.
    }
    return Either.left(
        new ControlError.Usage(
            "--" + option + ": value \"" + value + "\" is not a version number"));
  }

  /** Returns the value of an option, or empty if it is not given. */
  public Optional<String> option(String name) {
    return Optional.ofNullable(commandLine.getOptionValue(name));
  }

  /** Returns whether the output format is JSON. */
  public boolean isJson() {
    return commandLine.hasOption("json");
  }

  /** Returns the operator's name, or an empty string if it is not given. */
  public String operatorName() {
    return commandLine.getOptionValue("operator", "");
  }
}
