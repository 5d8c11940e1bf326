package org.flamingochute.decision.agreement;

import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;

/** Creates results of the fold. */
final class FoldResults {

  private static final FoldResult ACCEPTED = new FoldResult.Accepted();

  private FoldResults() {}

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
