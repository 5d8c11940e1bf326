package org.flamingochute.control;

import io.vavr.control.Either;
import org.flamingochute.schema.AuditEntry;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.FleetPatch;
import org.flamingochute.schema.HistoryReport;
import org.flamingochute.schema.StatusReport;

/** What an operator can ask of the entries. */
public interface OperatorClient {

  /** Returns the description in force with its version; version 0 when there is none yet. */
  Either<ControlError, FleetDescription> description();

  /** Returns the audit trail, oldest first. */
  Either<ControlError, HistoryReport> history();

  /** Returns the status as one entry knows it. */
  Either<ControlError, StatusReport> status();

  /**
   * Applies a patch.
   *
   * <p>A missing reply is settled by the patch id in the history; only when that does not tell
   * either, the error is {@link ControlError.UnknownOutcome}.
   *
   * @return the audit entry of the accepted patch
   */
  Either<ControlError, AuditEntry> patch(FleetPatch patch);
}
