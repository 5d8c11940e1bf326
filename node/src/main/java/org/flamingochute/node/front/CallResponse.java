package org.flamingochute.node.front;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import org.flamingochute.platform.wire.ResponseCodec;

/**
 * A response to a caller.
 *
 * @param status HTTP status
 * @param body JSON body, possibly empty
 * @param retryAfterSeconds value of the Retry-After header in seconds, or 0 for none
 * @param reason reason that is logged, and returned in error responses
 */
record CallResponse(int status, byte[] body, long retryAfterSeconds, String reason) {
  static final int OK = 200;
  static final int BAD_REQUEST = 400;
  static final int UNAUTHORIZED = 401;
  static final int NOT_FOUND = 404;
  static final int METHOD_NOT_ALLOWED = 405;
  static final int GONE = 410;
  static final int CONTENT_TOO_LARGE = 413;
  static final int TOO_MANY_REQUESTS = 429;
  static final int UNAVAILABLE = 503;
  static final int GATEWAY_TIMEOUT = 504;

  private static final byte[] EMPTY = {};

  static CallResponse ok(String reason) {
    return new CallResponse(OK, EMPTY, 0, reason);
  }

  static CallResponse ok(byte[] body, String reason) {
    return new CallResponse(OK, body, 0, reason);
  }

  static CallResponse error(int status, String reason) {
    return new CallResponse(status, ResponseCodec.writeError(reason), 0, reason);
  }

  static CallResponse error(int status, long retryAfterSeconds, String reason) {
    return new CallResponse(status, ResponseCodec.writeError(reason), retryAfterSeconds, reason);
  }

  HttpResponse toHttpResponse(boolean closing) {
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
