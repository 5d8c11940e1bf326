package org.flamingochute.decision.maintenance;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.RackId;

/** Generates pools with random sizes, racks and conditions for tests of the planners. */
final class RandomFleet {

  static final PoolId POOL = new PoolId("pool");

  private RandomFleet() {}

  static List<PoolInstance> pool(long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    int size = 1 + random.nextInt(12);
    int rackSize = 1 + random.nextInt(4);
    List<PoolInstance> instances = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      int draw = random.nextInt(10);
      InstanceCondition condition =
          draw == 0
              ? InstanceCondition.DOWN
              : draw == 1 ? InstanceCondition.STOPPED : InstanceCondition.AVAILABLE;
      instances.add(instance(i, i % 3, i / rackSize, condition, random.nextInt(8)));
    }
    return instances;
  }

  static PoolStopLimits limits(long seed, int size) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1_000);
    return new PoolStopLimits(POOL, random.nextInt(size + 1), 1 + random.nextInt(3));
  }

  static PoolInstance instance(
      int number, int dataCentre, int rack, InstanceCondition condition, int inFlight) {
    return new PoolInstance(
        new InstanceId(String.format("i-%02d", number)),
        POOL,
        new DataCentreId("dc-" + dataCentre),
        new RackId("rack-" + rack),
        condition,
        inFlight);
  }
}
