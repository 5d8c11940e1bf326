package org.flamingochute.control;

import io.vavr.control.Either;

/** A command of {@code flamingochute-control}. */
@FunctionalInterface
public interface Command {

  /**
   * Runs the command.
   *
   * @return the text to print, or the error
   */
  Either<ControlError, String> run(CommandContext context);
}
