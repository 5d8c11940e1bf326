package org.flamingochute.decision.fleet;

import org.flamingochute.decision.error.ErrorReporter;
import org.flamingochute.schema.FleetDescription;

/** The name of the operator of the first patch is reserved. */
final class OperatorNameNotReserved implements FleetRule {

  @Override
  public void check(FleetDescription description, ErrorReporter errors) {
    if (description.containsOperators(OperatorRights.BOOTSTRAP_OPERATOR)) {
      errors.report(
          FleetRule.invalid(
              "operator",
              OperatorRights.BOOTSTRAP_OPERATOR,
              "",
              "",
              "the name is reserved for the first patch"));
    }
  }
}
