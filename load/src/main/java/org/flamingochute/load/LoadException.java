package org.flamingochute.load;

import java.util.List;
import org.flamingochute.decision.error.ErrorReport;

/** The load tool cannot go on because of what the user gave it. */
public final class LoadException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient List<ErrorReport> reports;

  /** Creates the exception for reports. */
  public LoadException(List<ErrorReport> reports) {
    super(reports.toString());
    this.reports = List.copyOf(reports);
  }

  /** Creates the exception for one report. */
  public LoadException(ErrorReport report) {
    this(List.of(report));
  }

  /** Returns what to tell the user. */
  public List<ErrorReport> reports() {
    return reports;
  }
}
