package org.flamingochute.entry.http;

/** Values of the header that reports the outcome of a request to its caller. */
enum OutcomeName {
  ANSWERED("answered"),
  NOT_RUN("not-run"),
  UNKNOWN("unknown"),
  /** For routes without outcomes; no header is sent. */
  NONE("");

  private final String text;

  OutcomeName(String text) {
    this.text = text;
  }

  String text() {
    return text;
  }
}
