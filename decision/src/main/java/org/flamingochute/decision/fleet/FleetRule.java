package org.flamingochute.decision.fleet;

import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.error.ErrorReporter;
import org.flamingochute.schema.FleetDescription;

/** A rule that relates several values of a fleet description. */
@FunctionalInterface
interface FleetRule {

  /** Reports all violations of the rule. */
  void check(FleetDescription description, ErrorReporter errors);

  /** Creates the report of one value that violates a rule. */
  static ErrorReport invalid(String kind, String name, String key, Object value, String reason) {
    String section = name.isEmpty() ? kind : kind + " " + name;
    return ErrorReport.of(ErrorCode.FLEET_INVALID, section, key, value, reason);
  }
}
