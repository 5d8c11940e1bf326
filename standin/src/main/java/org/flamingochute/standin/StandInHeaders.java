package org.flamingochute.standin;

import java.util.List;
import org.flamingochute.platform.HeaderField;

/** Headers that identify requests to stand-in runners and control their responses. */
public final class StandInHeaders {

  /** Identifies the caller's request; all its retries have the same tag. */
  public static final String REQUEST_TAG = "X-Request-Tag";

  /** Team for which the request is sent. */
  public static final String TEAM_TAG = "X-Team-Tag";

  /** Requested size of the response in bytes. */
  public static final String RESPONSE_BYTES = "X-Answer-Bytes";

  /** Run time of the request in milliseconds, instead of a random one. */
  public static final String RUN_MILLISECONDS = "X-Run-Milliseconds";

  /** Identifies the dispatch; a runner copies it to its response. */
  public static final String REQUEST_ID = "Flamingochute-Request-Id";

  /** Outcome of a request, for example {@code not-run}. */
  public static final String OUTCOME = "Flamingochute-Outcome";

  /** Time until the deadline of the caller, in milliseconds. */
  public static final String TIMEOUT_MILLISECONDS = "Flamingochute-Timeout-Milliseconds";

  private StandInHeaders() {}

  /** Returns the value of the first header with a name, ignoring case, or a default value. */
  public static String find(List<HeaderField> headers, String name, String defaultValue) {
    for (HeaderField header : headers) {
      if (header.name().equalsIgnoreCase(name)) {
        return header.value();
      }
    }
    return defaultValue;
  }

  /** Returns the value of a numeric header, or a default value if it is absent or invalid. */
  public static long findNumber(List<HeaderField> headers, String name, long defaultValue) {
    try {
      return Long.parseLong(find(headers, name, Long.toString(defaultValue)));
    } catch (NumberFormatException e) {
      return defaultValue;
    }
  }
}
