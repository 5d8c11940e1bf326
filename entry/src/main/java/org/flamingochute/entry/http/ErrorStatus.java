package org.flamingochute.entry.http;

import org.flamingochute.decision.error.ErrorCode;

/** HTTP status codes of user-facing errors. */
final class ErrorStatus {
  static final int MALFORMED = 400;
  static final int NO_KEY = 401;
  static final int NOT_ALLOWED = 403;
  static final int UNKNOWN_NAME = 404;
  static final int METHOD_NOT_ALLOWED = 405;
  static final int CONFLICT = 409;
  static final int TOO_LARGE = 413;
  static final int INVALID = 422;
  static final int SHED = 429;
  static final int UNAVAILABLE = 503;
  static final int UNKNOWN_OUTCOME = 504;

  private ErrorStatus() {}

  /** Returns the status of an error whose request was not run. */
  static int of(ErrorCode code) {
    return switch (code) {
      case REQUEST_MALFORMED, BODY_MALFORMED -> MALFORMED;
      case KEY_MISSING, KEY_UNKNOWN, OPERATOR_UNKNOWN -> NO_KEY;
      case OPERATOR_NOT_ALLOWED -> NOT_ALLOWED;
      case SERVICE_UNKNOWN, POOL_UNKNOWN, JOB_UNKNOWN, TEAM_UNKNOWN, PATH_UNKNOWN -> UNKNOWN_NAME;
      case METHOD_NOT_ALLOWED -> METHOD_NOT_ALLOWED;
      case CLAIM_TAKEN,
          CLAIM_OTHER_REQUEST,
          PATCH_STALE_BASE,
          JOB_WRONG_PHASE,
          JOB_EXISTS,
          JOB_KEY_USED ->
          CONFLICT;
      case BODY_TOO_LARGE -> TOO_LARGE;
      case PATCH_EMPTY,
          FLEET_INVALID,
          POOL_UNSUITABLE,
          RECORD_FIELD,
          SETTINGS_UNKNOWN_SECTION,
          SETTINGS_UNKNOWN_KEY,
          SETTINGS_WRONG_TYPE,
          SETTINGS_OUT_OF_RANGE,
          SETTINGS_MISSING_KEY,
          SETTINGS_BAD_PATTERN,
          SETTINGS_MISSING_SECTION,
          SETTINGS_REPEATED,
          SETTINGS_BAD_NAME ->
          INVALID;
      case QUEUE_FULL, DEADLINE_PASSED, CAP_REACHED -> SHED;
      case OUTCOME_UNKNOWN -> UNKNOWN_OUTCOME;
      default -> UNAVAILABLE;
    };
  }
}
