package org.flamingochute.entry.http;

import io.activej.http.HttpUtils;
import io.activej.http.MalformedHttpException;
import java.util.Optional;

/**
 * The path of a request, split into segments for routing; the remainder stays percent-encoded.
 *
 * <p>For example {@code /services/quotes/a%2Fb?c=d} has the segments {@code services}, {@code
 * quotes} and {@code a%2Fb}, and the remainder after two segments is {@code /a%2Fb?c=d}.
 */
final class RequestPath {
  private final String pathAndQuery;

  RequestPath(String pathAndQuery) {
    this.pathAndQuery = pathAndQuery;
  }

  private String path() {
    int query = pathAndQuery.indexOf('?');
    return query < 0 ? pathAndQuery : pathAndQuery.substring(0, query);
  }

  /** Returns an undecoded segment, counted from 0, or an empty string if there is none. */
  String rawSegment(int index) {
    String[] segments = path().split("/", -1);
    return index + 1 < segments.length ? segments[index + 1] : "";
  }

  /** Returns a percent-decoded segment, or empty if its encoding is malformed. */
  Optional<String> segment(int index) {
    try {
      return Optional.of(HttpUtils.urlDecode(rawSegment(index).replace("+", "%2B"), "UTF-8"));
    } catch (MalformedHttpException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /** Returns the number of segments. */
  int segmentCount() {
    return path().split("/", -1).length - 1;
  }

  /** Returns path and query after the given number of segments, starting with a slash. */
  String remainderAfter(int segments) {
    int position = 0;
    for (int i = 0; i < segments; i++) {
      int nextSlash = path().indexOf('/', position + 1);
      if (nextSlash < 0) {
        String query = pathAndQuery.substring(path().length());
        return "/" + query;
      }
      position = nextSlash;
    }
    return pathAndQuery.substring(position);
  }

  @Override
  public String toString() {
    return path();
  }
}
