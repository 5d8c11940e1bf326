package org.flamingochute.entry.http;

/** Values of the header that tells a caller how its request ended. */
enum OutcomeName {
  ANSWERED("answered"),
  NOT_RUN("not-run"),
  UNKNOWN("unknown"),
  /** For interfaces without outcomes; no header is sent. */
  NONE("");

  private final String text;

  OutcomeName(String text) {
    this.text = text;
  }

  String text() {
    return text;
  }
}
