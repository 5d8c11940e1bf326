package org.flamingochute.decision.fleet;

import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.error.ErrorReporter;
import org.flamingochute.schema.FleetDescription;

/** One rule that a fleet description must keep across its sections. */
@FunctionalInterface
interface FleetRule {

  /** Reports everything that breaks the rule. */
  void check(FleetDescription description, ErrorReporter errors);

  /** Creates the report of one value that breaks a rule. */
  static ErrorReport invalid(String kind, String name, String key, Object value, String reason) {
    String section = name.isEmpty() ? kind : kind + " " + name;
    return ErrorReport.of(ErrorCode.FLEET_INVALID, section, key, value, reason);
  }
}
