package org.flamingochute.load;

/** How one try of a call ended, as its caller saw it. */
public sealed interface TryOutcome {

  /**
   * A successful answer came.
   *
   * @param status HTTP status
   * @param whole whether it is the whole answer to this very call
   */
  record Answered(int status, boolean whole) implements TryOutcome {}

  /**
   * The entry said that the call was not run.
   *
   * @param status HTTP status
   */
  record NotRun(int status) implements TryOutcome {}

  /**
   * The call never left: no connection was made.
   *
   * @param detail the explanation
   */
  record NoConnection(String detail) implements TryOutcome {}

  /**
   * The call may have run.
   *
   * @param status HTTP status, or 0 without an answer
   * @param detail the explanation
   */
  record Unknown(int status, String detail) implements TryOutcome {}
}
