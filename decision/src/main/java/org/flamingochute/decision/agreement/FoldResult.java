package org.flamingochute.decision.agreement;

import org.flamingochute.decision.error.ErrorReport;

/** What the fold made of one record. */
public sealed interface FoldResult {

  /** The record took effect. */
  record Accepted() implements FoldResult {}

  /**
   * The record took no effect.
   *
   * @param report why
   */
  record Refused(ErrorReport report) implements FoldResult {}

  /** A copy of the record was folded before; its result stands. */
  record Duplicate() implements FoldResult {}

  /**
   * The record could not be read, for example one of a later format.
   *
   * @param report why
   */
  record Unreadable(ErrorReport report) implements FoldResult {}
}
