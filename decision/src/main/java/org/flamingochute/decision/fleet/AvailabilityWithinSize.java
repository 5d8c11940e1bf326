package org.flamingochute.decision.fleet;

import org.flamingochute.decision.error.ErrorReporter;
import org.flamingochute.schema.FleetDescription;

/** The minimum number of available instances of a pool must not exceed its size. */
final class AvailabilityWithinSize implements FleetRule {

  @Override
  public void check(FleetDescription description, ErrorReporter errors) {
    description
        .getPoolsMap()
        .forEach(
            (name, pool) -> {
              if (pool.getMinimumAvailable() > pool.getSize()) {
                errors.report(
                    FleetRule.invalid(
                        "pool",
                        name,
                        "minimum_available",
                        pool.getMinimumAvailable(),
                        "more than the size " + pool.getSize()));
              }
            });
  }
}
