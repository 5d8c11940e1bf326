package org.flamingochute.node.front;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import org.flamingochute.platform.wire.AnswerCodec;

/**
 * An answer to a caller.
 *
 * @param status HTTP status
 * @param body body as JSON, possibly empty
 * @param retryAfterSeconds when the caller should come again, or 0
 * @param reason why, for the log
 */
record Answer(int status, byte[] body, long retryAfterSeconds, String reason) {
  static final int OK = 200;
  static final int BAD_REQUEST = 400;
  static final int UNAUTHORIZED = 401;
  static final int NOT_FOUND = 404;
  static final int METHOD_NOT_ALLOWED = 405;
  static final int GONE = 410;
  static final int TOO_LARGE = 413;
  static final int THROTTLED = 429;
  static final int UNAVAILABLE = 503;
  static final int TIMEOUT = 504;

  private static final byte[] EMPTY = {};

  static Answer ok(String reason) {
    return new Answer(OK, EMPTY, 0, reason);
  }

  static Answer ok(byte[] body, String reason) {
    return new Answer(OK, body, 0, reason);
  }

  static Answer refused(int status, String reason) {
    return new Answer(status, AnswerCodec.error(reason), 0, reason);
  }

  static Answer refused(int status, long retryAfterSeconds, String reason) {
    return new Answer(status, AnswerCodec.error(reason), retryAfterSeconds, reason);
  }

  HttpResponse toResponse(boolean closing) {
    HttpResponse.Builder builder = HttpResponse.ofCode(status);
    if (retryAfterSeconds > 0) {
      builder.withHeader(HttpHeaders.RETRY_AFTER, Long.toString(retryAfterSeconds));
    }
    if (closing) {
      builder.withHeader(HttpHeaders.CONNECTION, "close");
    }
    if (body.length > 0) {
      builder.withHeader(HttpHeaders.CONTENT_TYPE, "application/json");
    }
    return builder.withBody(body).build();
  }
}
