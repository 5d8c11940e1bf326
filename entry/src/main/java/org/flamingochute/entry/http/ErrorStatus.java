package org.flamingochute.entry.http;

import org.flamingochute.decision.error.ErrorCode;

/** HTTP status codes of errors. */
final class ErrorStatus {
  static final int BAD_REQUEST = 400;
  static final int UNAUTHORIZED = 401;
  static final int FORBIDDEN = 403;
  static final int NOT_FOUND = 404;
  static final int METHOD_NOT_ALLOWED = 405;
  static final int CONFLICT = 409;
  static final int CONTENT_TOO_LARGE = 413;
  static final int UNPROCESSABLE_CONTENT = 422;
  static final int TOO_MANY_REQUESTS = 429;
  static final int SERVICE_UNAVAILABLE = 503;
  static final int GATEWAY_TIMEOUT = 504;

  private ErrorStatus() {}

  /** Returns the status of the response that reports an error; 503 if none is listed here. */
  static int of(ErrorCode code) {
    return switch (code) {
      case REQUEST_MALFORMED, BODY_MALFORMED -> BAD_REQUEST;
      case KEY_MISSING, KEY_UNKNOWN, OPERATOR_UNKNOWN -> UNAUTHORIZED;
      case OPERATOR_NOT_ALLOWED -> FORBIDDEN;
      case SERVICE_UNKNOWN, POOL_UNKNOWN, JOB_UNKNOWN, TEAM_UNKNOWN, PATH_UNKNOWN -> NOT_FOUND;
      case METHOD_NOT_ALLOWED -> METHOD_NOT_ALLOWED;
      case CLAIM_TAKEN,
          CLAIM_OTHER_REQUEST,
          PATCH_STALE_BASE,
          JOB_WRONG_PHASE,
          JOB_EXISTS,
          JOB_KEY_USED ->
          CONFLICT;
      case BODY_TOO_LARGE -> CONTENT_TOO_LARGE;
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
          UNPROCESSABLE_CONTENT;
      case QUEUE_FULL, DEADLINE_PASSED, CAP_REACHED -> TOO_MANY_REQUESTS;
      case OUTCOME_UNKNOWN -> GATEWAY_TIMEOUT;
      default -> SERVICE_UNAVAILABLE;
    };
  }
}
