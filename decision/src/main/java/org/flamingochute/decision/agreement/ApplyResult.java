package org.flamingochute.decision.agreement;

import org.flamingochute.decision.error.ErrorReport;

/** The result of applying one record. */
public sealed interface ApplyResult {

  /** The record took effect. */
  record Accepted() implements ApplyResult {}

  /**
   * The record took no effect.
   *
   * @param report the reason
   */
  record Refused(ErrorReport report) implements ApplyResult {}

  /** A copy of the record was applied before and keeps its result; this copy has no effect. */
  record Duplicate() implements ApplyResult {}

  /**
   * The record could not be read, for example one of a later format.
   *
   * @param report the reason
   */
  record Unreadable(ErrorReport report) implements ApplyResult {}
}
