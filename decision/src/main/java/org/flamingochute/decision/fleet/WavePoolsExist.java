package org.flamingochute.decision.fleet;

import java.util.List;
import org.flamingochute.decision.error.ErrorReporter;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.schema.FleetDescription;

/** A wave needs at least one pool, and all its pools must exist. */
final class WavePoolsExist implements FleetRule {

  @Override
  public void check(FleetDescription description, ErrorReporter errors) {
    description
        .getWavesMap()
        .forEach((name, wave) -> checkWave(description, name, WavePools.of(wave), errors));
  }

  private static void checkWave(
      FleetDescription description, String wave, List<PoolId> pools, ErrorReporter errors) {
    if (pools.isEmpty()) {
      errors.report(FleetRule.invalid("wave", wave, "pools", "", "names no pool"));
    }
    for (PoolId pool : pools) {
      if (!description.containsPools(pool.value())) {
        errors.report(FleetRule.invalid("wave", wave, "pools", pool, "no such pool"));
      }
    }
  }
}
