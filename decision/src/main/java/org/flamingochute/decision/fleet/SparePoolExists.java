package org.flamingochute.decision.fleet;

import org.flamingochute.decision.error.ErrorReporter;
import org.flamingochute.schema.FleetDescription;

/** The spare pool must exist if one is specified. */
final class SparePoolExists implements FleetRule {

  @Override
  public void check(FleetDescription description, ErrorReporter errors) {
    String spare = description.getFleet().getSparePool();
    if (!spare.isEmpty() && !description.containsPools(spare)) {
      errors.report(FleetRule.invalid("fleet", "", "spare_pool", spare, "no such pool"));
    }
  }
}
