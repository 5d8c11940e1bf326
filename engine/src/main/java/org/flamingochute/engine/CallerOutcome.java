package org.flamingochute.engine;

import java.util.List;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.platform.HeaderField;

/** The outcome of a request, as returned to the caller. */
public sealed interface CallerOutcome {

  /**
   * The complete response to the caller's own request.
   *
   * @param status HTTP status
   * @param headers headers of the response
   * @param body complete body
   */
  record Answered(int status, List<HeaderField> headers, byte[] body) implements CallerOutcome {}

  /**
   * The request was provably not run.
   *
   * @param report the reason
   */
  record NotRun(ErrorReport report) implements CallerOutcome {}

  /**
   * The request may have run.
   *
   * @param report the reason
   */
  record Unknown(ErrorReport report) implements CallerOutcome {}
}
