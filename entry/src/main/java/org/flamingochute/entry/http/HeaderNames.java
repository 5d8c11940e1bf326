package org.flamingochute.entry.http;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;

/** Names of the headers that the HTTP interface defines. */
final class HeaderNames {
  static final HttpHeader KEY = HttpHeaders.of("Flamingochute-Key");
  static final HttpHeader TIMEOUT = HttpHeaders.of("Flamingochute-Timeout-Milliseconds");
  static final HttpHeader IDEMPOTENT = HttpHeaders.of("Flamingochute-Idempotent");
  static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.of("Idempotency-Key");
  static final HttpHeader OUTCOME = HttpHeaders.of("Flamingochute-Outcome");
  static final HttpHeader OPERATOR = HttpHeaders.of("Flamingochute-Operator");
  static final HttpHeader OPERATOR_KEY = HttpHeaders.of("Flamingochute-Operator-Key");
  static final HttpHeader VERSION = HttpHeaders.of("Flamingochute-Version");

  /** Common prefix of the names of this system, in lower case. */
  static final String LOWER_CASE_PREFIX = "flamingochute-";

  private HeaderNames() {}
}
