package org.flamingochute.engine.log;

import org.flamingochute.decision.agreement.FoldResult;

/** How the append of one record ended. */
public sealed interface AppendOutcome {

  /**
   * The record was appended and read back.
   *
   * @param offset offset of its first copy
   * @param result what the fold made of it
   */
  record Folded(long offset, FoldResult result) implements AppendOutcome {

    /** Tells whether the record took effect. */
    public boolean isAccepted() {
      return result instanceof FoldResult.Accepted;
    }
  }

  /**
   * The record is provably not in the log and will not be appended later.
   *
   * @param detail the explanation
   */
  record NotAppended(String detail) implements AppendOutcome {}

  /**
   * The record may be in the log, or may still arrive there.
   *
   * @param detail the explanation
   */
  record Unknown(String detail) implements AppendOutcome {}
}
