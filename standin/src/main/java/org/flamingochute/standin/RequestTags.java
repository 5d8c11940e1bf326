package org.flamingochute.standin;

import java.util.List;
import org.flamingochute.platform.HeaderField;

/** Header fields by which callers tell the stand-in runners what to count and how to behave. */
public final class RequestTags {

  /** Names the caller's request; all its repetitions carry the same tag. */
  public static final String REQUEST_TAG = "X-Request-Tag";

  /** Names the team that the request is sent for. */
  public static final String TEAM_TAG = "X-Team-Tag";

  /** Size of the wanted answer in bytes. */
  public static final String ANSWER_BYTES = "X-Answer-Bytes";

  /** Run time of the request in milliseconds, in place of a sampled one. */
  public static final String RUN_MILLISECONDS = "X-Run-Milliseconds";

  /** Identifies the dispatch; a runner repeats it in its answer. */
  public static final String REQUEST_ID = "Flamingochute-Request-Id";

  /** Tells how a request ended. */
  public static final String OUTCOME = "Flamingochute-Outcome";

  /** Time until the caller gives up, in milliseconds. */
  public static final String TIMEOUT_MILLISECONDS = "Flamingochute-Timeout-Milliseconds";

  private RequestTags() {}

  /** Returns the value of the first field with a name, in any case, or a default. */
  public static String find(List<HeaderField> headers, String name, String defaultValue) {
    for (HeaderField header : headers) {
      if (header.name().equalsIgnoreCase(name)) {
        return header.value();
      }
    }
    return defaultValue;
  }

  /** Returns the value of a numeric field, or a default when it is absent or not a number. */
  public static long findNumber(List<HeaderField> headers, String name, long defaultValue) {
    try {
      return Long.parseLong(find(headers, name, Long.toString(defaultValue)));
    } catch (NumberFormatException e) {
      return defaultValue;
    }
  }
}
