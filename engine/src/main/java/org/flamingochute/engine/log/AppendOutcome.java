package org.flamingochute.engine.log;

import org.flamingochute.decision.agreement.ApplyResult;

/** The outcome of the append of one record. */
public sealed interface AppendOutcome {

  /**
   * The record was appended and read back.
   *
   * @param offset offset of its first copy
   * @param result the result of applying the record
   */
  record Applied(long offset, ApplyResult result) implements AppendOutcome {

    /** Returns whether the record took effect. */
    public boolean isAccepted() {
      return result instanceof ApplyResult.Accepted;
    }
  }

  /**
   * The record is provably not in the log and will not be appended later.
   *
   * @param detail the reason
   */
  record NotAppended(String detail) implements AppendOutcome {}

  /**
   * The record may be in the log, or may still arrive there.
   *
   * @param detail the reason
   */
  record Unknown(String detail) implements AppendOutcome {}
}
