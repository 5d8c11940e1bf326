package org.flamingochute.decision.fleet;

import org.flamingochute.decision.error.ErrorReporter;
import org.flamingochute.schema.FleetDescription;

/** A service must have at least one connection for each slot of a runner. */
final class ConnectionsCoverSlots implements FleetRule {

  @Override
  public void check(FleetDescription description, ErrorReporter errors) {
    description
        .getServicesMap()
        .forEach(
            (name, service) -> {
              if (service.getConnections() < service.getSlots()) {
                errors.report(
                    FleetRule.invalid(
                        "service",
                        name,
                        "connections",
                        service.getConnections(),
                        "fewer than the slots " + service.getSlots()));
              }
            });
  }
}
