package org.flamingochute.entry.http;

import io.activej.http.HttpUtils;
import io.activej.http.MalformedHttpException;
import java.util.Optional;

/**
 * The path of a request, split where routes need it, with the escapes of the rest kept.
 *
 * <p>For example {@code /services/quotes/a%2Fb?c=d} has the parts {@code services}, {@code quotes}
 * and {@code a%2Fb}, and the remainder after two parts is {@code /a%2Fb?c=d}.
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

  /** Returns a part with its escapes, counted from 0; empty when there are fewer parts. */
  String rawPart(int index) {
    String[] parts = path().split("/", -1);
    return index + 1 < parts.length ? parts[index + 1] : "";
  }

  /** Returns a part with its escapes resolved; empty when they are malformed. */
  Optional<String> part(int index) {
    try {
      return Optional.of(HttpUtils.urlDecode(rawPart(index).replace("+", "%2B"), "UTF-8"));
    } catch (MalformedHttpException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /** Returns the number of parts. */
  int partCount() {
    return path().split("/", -1).length - 1;
  }

  /** Returns path and query after the given number of parts, beginning with a slash. */
  String remainderAfter(int parts) {
    int position = 0;
    for (int i = 0; i < parts; i++) {
      int next = path().indexOf('/', position + 1);
      if (next < 0) {
        String query = pathAndQuery.substring(path().length());
        return "/" + query;
      }
      position = next;
    }
    return pathAndQuery.substring(position);
  }

  @Override
  public String toString() {
    return path();
  }
}
