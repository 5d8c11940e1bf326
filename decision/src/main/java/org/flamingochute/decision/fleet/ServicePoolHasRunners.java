package org.flamingochute.decision.fleet;

import org.flamingochute.decision.error.ErrorReporter;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.PoolSection;

/** The pool of a service must exist and be a pool of runners. */
final class ServicePoolHasRunners implements FleetRule {

  @Override
  public void check(FleetDescription description, ErrorReporter errors) {
    description
        .getServicesMap()
        .forEach(
            (name, service) -> {
              String reason = invalidReason(description, service.getPool());
              if (!reason.isEmpty()) {
                errors.report(
                    FleetRule.invalid("service", name, "pool", service.getPool(), reason));
              }
            });
  }

  private static String invalidReason(FleetDescription description, String poolName) {
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
