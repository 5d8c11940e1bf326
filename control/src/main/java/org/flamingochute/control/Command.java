package org.flamingochute.control;

import io.vavr.control.Either;

/** One command of the operators' command line. */
@FunctionalInterface
public interface Command {

  /**
   * Runs the command.
   *
   * @return the text to print, or why it failed
   */
  Either<ControlError, String> run(CommandContext context);
}
