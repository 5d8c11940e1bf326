package org.flamingochute.decision.error;

/** Receives every user-facing error. */
@FunctionalInterface
public interface ErrorReporter {

  /** Reports one error. */
  void report(ErrorReport report);
}
