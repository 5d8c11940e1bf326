package org.flamingochute.standin.http;

import org.flamingochute.decision.error.ErrorReport;

/** Thrown if a stand-in process cannot start. */
public final class StandInException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient ErrorReport report;

  /** Creates the exception for a report. */
  public StandInException(ErrorReport report) {
    super(report.toString());
    this.report = report;
  }

  /** Returns the error to report to the user. */
  public ErrorReport report() {
    return report;
  }
}
