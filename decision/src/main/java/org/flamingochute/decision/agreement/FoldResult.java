package org.flamingochute.decision.agreement;

import org.flamingochute.decision.error.ErrorReport;

/** The result of applying one record. */
public sealed interface FoldResult {

  /** The record took effect. */
  record Accepted() implements FoldResult {}

  /**
   * The record took no effect.
   *
   * @param report the reason
   */
  record Refused(ErrorReport report) implements FoldResult {}

  /** A copy of the record was applied before and keeps its result; this copy has no effect. */
  record Duplicate() implements FoldResult {}

  /**
   * The record could not be read, for example one of a later format.
   *
   * @param report the reason
   */
  record Unreadable(ErrorReport report) implements FoldResult {}
}
