package org.flamingochute.decision.fleet;

import org.flamingochute.decision.error.ErrorReporter;
import org.flamingochute.schema.FleetDescription;

/** The pool of an instance must exist. */
final class InstancePoolExists implements FleetRule {

  @Override
  public void check(FleetDescription description, ErrorReporter errors) {
    description
        .getInstancesMap()
        .forEach(
            (name, instance) -> {
              if (!description.containsPools(instance.getPool())) {
                errors.report(
                    FleetRule.invalid(
                        "instance", name, "pool", instance.getPool(), "no such pool"));
              }
            });
  }
}
