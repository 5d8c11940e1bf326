package org.flamingochute.decision.error;

import java.util.List;

/**
 * One user-facing error: its code and the arguments of its message.
 *
 * @param code the error code
 * @param arguments the arguments of the message template, in order
 */
public record ErrorReport(ErrorCode code, List<String> arguments) {

  /** Copies the arguments. */
  public ErrorReport {
    arguments = List.copyOf(arguments);
  }

  /** Creates a report; arguments are converted by {@code String.valueOf}. */
  public static ErrorReport of(ErrorCode code, Object... arguments) {
    return new ErrorReport(code, java.util.Arrays.stream(arguments).map(String::valueOf).toList());
  }

  /** Returns the formatted message, without the code. */
  public String message() {
    return String.format(code.template(), arguments.toArray());
  }

  /** Returns the code and the message, for example {@code FC-1100: patch p1 is against ...}. */
  @Override
  public String toString() {
    return "FC-" + code.number() + ": " + message();
  }
}
