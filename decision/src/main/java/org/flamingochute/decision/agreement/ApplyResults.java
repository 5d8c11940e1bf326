package org.flamingochute.decision.agreement;

import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;

/** Factory methods for results of applying a record. */
final class ApplyResults {

  private static final FoldResult ACCEPTED = new FoldResult.Accepted();

  private ApplyResults() {}

  static FoldResult accepted() {
    return ACCEPTED;
  }

  static FoldResult refused(ErrorCode code, Object... arguments) {
    return new FoldResult.Refused(ErrorReport.of(code, arguments));
  }

  static FoldResult unreadable(ErrorCode code, Object... arguments) {
    return new FoldResult.Unreadable(ErrorReport.of(code, arguments));
  }
}
