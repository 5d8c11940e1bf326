package org.flamingochute.decision.agreement;

import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;

/** Factory methods for results of applying a record. */
final class ApplyResults {

  private static final ApplyResult ACCEPTED = new ApplyResult.Accepted();

  private ApplyResults() {}

  static ApplyResult accepted() {
    return ACCEPTED;
  }

  static ApplyResult refused(ErrorCode code, Object... arguments) {
    return new ApplyResult.Refused(ErrorReport.of(code, arguments));
  }

  static ApplyResult unreadable(ErrorCode code, Object... arguments) {
    return new ApplyResult.Unreadable(ErrorReport.of(code, arguments));
  }
}
