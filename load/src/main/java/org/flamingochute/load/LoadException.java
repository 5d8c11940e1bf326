package org.flamingochute.load;

import java.util.List;
import org.flamingochute.decision.error.ErrorReport;

/** Thrown if the arguments or files of the load tool are invalid, unreadable or not writable. */
public final class LoadException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient List<ErrorReport> reports;

  /** Creates an exception with several errors. */
  public LoadException(List<ErrorReport> reports) {
    super(reports.toString());
    this.reports = List.copyOf(reports);
  }

  /** Creates an exception with one error. */
  public LoadException(ErrorReport report) {
    this(List.of(report));
  }

  /** Returns the errors to report to the user. */
  public List<ErrorReport> reports() {
    return reports;
  }
}
