package org.flamingochute.control;

/** Exit codes of {@code flamingochute-control}. */
public enum ExitCode {
  /** Success. */
  OK(0),
  /** Refused for a reason that has no exit code of its own. */
  REFUSED(1),
  /** The command line is invalid, or a file that it names cannot be read. */
  USAGE(2),
  /** The fleet description is invalid. */
  INVALID_DESCRIPTION(3),
  /** The base version of the patch is not the version in force. */
  STALE_BASE(4),
  /** The operator is unknown or lacks the required rights. */
  NOT_ALLOWED(5),
  /** No entry can be reached; nothing was changed. */
  UNREACHABLE(6),
  /** The patch may or may not have taken effect. */
  UNKNOWN_OUTCOME(7);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the exit code of the process. */
  public int number() {
    return number;
  }
}
