package org.flamingochute.decision.fleet;

import org.flamingochute.decision.error.ErrorReporter;
import org.flamingochute.schema.FleetDescription;

/** A runner needs at least one connection for each slot. */
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
