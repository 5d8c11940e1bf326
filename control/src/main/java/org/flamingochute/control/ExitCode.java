package org.flamingochute.control;

/** Exit codes of {@code flamingochute-control}. */
public enum ExitCode {
  /** Done. */
  OK(0),
  /** Refused for a reason without an exit code of its own. */
  REFUSED(1),
  /** The command line is wrong. */
  USAGE(2),
  /** The fleet description is invalid. */
  INVALID_DESCRIPTION(3),
  /** Another version than the base is in force. */
  STALE_BASE(4),
  /** The operator is not known, or may not do this. */
  NOT_ALLOWED(5),
  /** No entry can be reached; nothing was changed. */
  UNREACHABLE(6),
  /** The patch may or may not have taken effect. */
  UNKNOWN_OUTCOME(7);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the number that the process ends with. */
  public int number() {
    return number;
  }
}
