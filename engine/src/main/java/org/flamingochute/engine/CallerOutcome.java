package org.flamingochute.engine;

import java.util.List;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.platform.HeaderField;

/** What a caller is told. */
public sealed interface CallerOutcome {

  /**
   * The whole answer to the caller's own request.
   *
   * @param status HTTP status
   * @param headers headers of the answer
   * @param body whole body
   */
  record Answered(int status, List<HeaderField> headers, byte[] body) implements CallerOutcome {}

  /**
   * The request was provably not run.
   *
   * @param report why
   */
  record NotRun(ErrorReport report) implements CallerOutcome {}

  /**
   * The request may have run.
   *
   * @param report why
   */
  record Unknown(ErrorReport report) implements CallerOutcome {}
}
