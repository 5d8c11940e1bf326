package org.flamingochute.control;

import java.util.List;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;

/** Why a command did not do what it was asked to. */
public sealed interface ControlError {

  /** Returns the exit code. */
  ExitCode exitCode();

  /** Returns what to tell the user, one text for each line. */
  List<String> lines();

  /**
   * The command line is wrong.
   *
   * @param detail the explanation, naming option and value
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
   * @param lines every error
   */
  record InvalidDescription(List<String> lines) implements ControlError {
    @Override
    public ExitCode exitCode() {
      return ExitCode.INVALID_DESCRIPTION;
    }
  }

  /**
   * Another version than the base is in force.
   *
   * @param baseVersion version that the patch is against
   * @param versionInForce version that is in force
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
   * The operator is not known, or may not do this.
   *
   * @param detail the entry's explanation
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
   * No entry took the call; nothing was changed.
   *
   * @param details what each entry said
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
   * The reply to a patch is missing and the history does not tell what became of it.
   *
   * @param patchId id to look for in the history
   * @param detail what happened
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
          "Look for it with: flamingochute-control history --patch " + patchId);
    }
  }

  /**
   * The entry refused for another reason.
   *
   * @param detail the entry's explanation
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
