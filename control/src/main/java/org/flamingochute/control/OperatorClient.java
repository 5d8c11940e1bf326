package org.flamingochute.control;

import io.vavr.control.Either;
import org.flamingochute.schema.AuditEntry;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.FleetPatch;
import org.flamingochute.schema.HistoryReport;
import org.flamingochute.schema.StatusReport;

/** Operations of operators on the entries. */
public interface OperatorClient {

  /** Returns the description in force with its version; version 0 if there is none yet. */
  Either<ControlError, FleetDescription> description();

  /** Returns the audit trail, oldest first. */
  Either<ControlError, HistoryReport> history();

  /** Returns the status as seen by one entry. */
  Either<ControlError, StatusReport> status();

  /**
   * Applies a patch.
   *
   * <p>If the response does not determine the outcome, the outcome is looked up in the history by
   * the patch id. If the patch is not found there, the error is {@link
   * ControlError.UnknownOutcome}.
   *
   * @return the audit entry of the accepted patch
   */
  Either<ControlError, AuditEntry> patch(FleetPatch patch);
}
