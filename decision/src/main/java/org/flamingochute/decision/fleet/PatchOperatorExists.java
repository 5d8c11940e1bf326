package org.flamingochute.decision.fleet;

import org.flamingochute.decision.error.ErrorReporter;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.OperatorSection;

/** At least one operator must have the right to patch, so that patches remain possible. */
final class PatchOperatorExists implements FleetRule {

  @Override
  public void check(FleetDescription description, ErrorReporter errors) {
    for (OperatorSection operator : description.getOperatorsMap().values()) {
      if (operator.getRights().equals(OperatorRights.PATCH)) {
        return;
      }
    }
    errors.report(
        FleetRule.invalid(
            "operator", "", "rights", "", "at least one operator needs the right to patch"));
  }
}
