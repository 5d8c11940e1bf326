package org.flamingochute.load;

/** Outcome of one attempt of a call, as observed by its caller. */
public sealed interface AttemptOutcome {

  /**
   * A successful response was received.
   *
   * @param status HTTP status
   * @param complete whether the body is complete and belongs to this call
   */
  record Answered(int status, boolean complete) implements AttemptOutcome {}

  /**
   * The call was not run: the entry reported so, or the client had no free connection for it.
   *
   * @param status HTTP status; 503 if it was the client that refused the call
   */
  record NotRun(int status) implements AttemptOutcome {}

  /**
   * The call was not sent, usually because no connection was established.
   *
   * @param detail the cause
   */
  record NoConnection(String detail) implements AttemptOutcome {}

  /**
   * The call may have run.
   *
   * @param status HTTP status, or 0 if there was no response
   * @param detail the cause
   */
  record Unknown(int status, String detail) implements AttemptOutcome {}
}
