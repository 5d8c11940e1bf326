package org.flamingochute.control;

import java.util.List;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;

/** Error of a command. */
public sealed interface ControlError {

  /** Returns the exit code. */
  ExitCode exitCode();

  /** Returns the lines of the error message. */
  List<String> lines();

  /**
   * The command line is invalid, or a file that it names cannot be read.
   *
   * @param detail the cause, with option and value
   */
  record Usage(String detail) implements ControlError {
    @Override
    public ExitCode exitCode() {
      return ExitCode.USAGE;
    }

    @Override
    public List<String> lines() {
      return List.of(ErrorReport.of(ErrorCode.COMMAND_LINE, detail).toString());
    }
  }

  /**
   * The description in the file, or the result of the patch, is invalid.
   *
   * @param lines all errors, one per line
   */
  record InvalidDescription(List<String> lines) implements ControlError {
    @Override
    public ExitCode exitCode() {
      return ExitCode.INVALID_DESCRIPTION;
    }
  }

  /**
   * The base version of the patch is not the version in force.
   *
   * @param baseVersion base version of the patch
   * @param versionInForce version in force
   */
  record StaleBase(long baseVersion, long versionInForce) implements ControlError {
    @Override
    public ExitCode exitCode() {
      return ExitCode.STALE_BASE;
    }

    @Override
    public List<String> lines() {
      return List.of(
          ErrorReport.of(ErrorCode.CONTROL_STALE_BASE, baseVersion, versionInForce).toString());
    }
  }

  /**
   * The operator is unknown or lacks the required rights.
   *
   * @param detail the entry's error message
   */
  record NotAllowed(String detail) implements ControlError {
    @Override
    public ExitCode exitCode() {
      return ExitCode.NOT_ALLOWED;
    }

    @Override
    public List<String> lines() {
      return List.of(detail);
    }
  }

  /**
   * No entry accepted the call; nothing was changed.
   *
   * @param details failure at each entry
   */
  record Unreachable(List<String> details) implements ControlError {
    @Override
    public ExitCode exitCode() {
      return ExitCode.UNREACHABLE;
    }

    @Override
    public List<String> lines() {
      return details.stream()
          .map(detail -> ErrorReport.of(ErrorCode.CONTROL_UNREACHABLE, detail).toString())
          .toList();
    }
  }

  /**
   * The response to a patch was lost or reported a server error, and the patch was not found in the
   * history.
   *
   * @param patchId patch id to search in the history
   * @param detail the entry and its failure
   */
  record UnknownOutcome(String patchId, String detail) implements ControlError {
    @Override
    public ExitCode exitCode() {
      return ExitCode.UNKNOWN_OUTCOME;
    }

    @Override
    public List<String> lines() {
      return List.of(
          ErrorReport.of(ErrorCode.CONTROL_UNKNOWN_OUTCOME, patchId, detail).toString(),
          "To search for it: flamingochute-control history --patch " + patchId);
    }
  }

  /**
   * The call was refused for another reason, by the entry or before it was sent, or its response
   * cannot be parsed.
   *
   * @param detail the error message
   */
  record Refused(String detail) implements ControlError {
    @Override
    public ExitCode exitCode() {
      return ExitCode.REFUSED;
    }

    @Override
    public List<String> lines() {
      return List.of(detail);
    }
  }
}
