package org.flamingochute.decision.fleet;

import org.flamingochute.decision.error.ErrorReporter;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.PoolSection;

/** A service needs a pool that exists and holds runners. */
final class ServicePoolServesRequests implements FleetRule {

  @Override
  public void check(FleetDescription description, ErrorReporter errors) {
    description
        .getServicesMap()
        .forEach(
            (name, service) -> {
              String reason = reasonAgainst(description, service.getPool());
              if (!reason.isEmpty()) {
                errors.report(
                    FleetRule.invalid("service", name, "pool", service.getPool(), reason));
              }
            });
  }

  private static String reasonAgainst(FleetDescription description, String poolName) {
    PoolSection pool = description.getPoolsMap().get(poolName);
    if (pool == null) {
      return "no such pool";
    }
    if (!pool.getKind().equals(PoolKinds.RUNNER)) {
      return "a service needs a pool of kind " + PoolKinds.RUNNER;
    }
    return "";
  }
}
