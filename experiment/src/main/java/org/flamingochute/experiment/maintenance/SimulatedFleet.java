package org.flamingochute.experiment.maintenance;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.RackId;
import org.flamingochute.decision.maintenance.InstanceCondition;
import org.flamingochute.decision.maintenance.PoolInstance;
import org.flamingochute.decision.maintenance.PoolStopLimits;
import org.flamingochute.experiment.model.Company;

/** Pools of instances, with a check of the pool's limits after each change of a condition. */
final class SimulatedFleet {

  private final Map<InstanceId, PoolInstance> instances = new LinkedHashMap<>();
  private final Map<PoolId, PoolStopLimits> limits = new LinkedHashMap<>();
  private int violations;

  /** Adds a pool whose racks are spread over the data centres. */
  void addPool(String name, int size, int minimumAvailable, int maximumStoppedDomains) {
    PoolId pool = new PoolId(name);
    limits.put(pool, new PoolStopLimits(pool, minimumAvailable, maximumStoppedDomains));
    for (int i = 0; i < size; i++) {
      int rack = i / Company.INSTANCES_PER_RACK;
      InstanceId id = new InstanceId(name + "-" + i);
      instances.put(
          id,
          new PoolInstance(
              id,
              pool,
              new DataCentreId("dc-" + rack % Company.DATA_CENTRE_COUNT),
              new RackId(name + "-rack-" + rack),
              InstanceCondition.AVAILABLE,
              0));
    }
  }

  void setCondition(InstanceId id, InstanceCondition condition) {
    PoolInstance instance = instances.get(id);
    instances.put(
        id,
        new PoolInstance(
            id,
            instance.pool(),
            instance.dataCentre(),
            instance.rack(),
            condition,
            instance.inFlight()));
    checkLimits(instance.pool());
  }

  void remove(InstanceId id) {
    instances.remove(id);
  }

  /** Counts a violation if the pool has too few available instances or too many stopped domains. */
  private void checkLimits(PoolId pool) {
    long availableCount = instances(pool).stream().filter(PoolInstance::isAvailable).count();
    long stoppedDomains =
        instances(pool).stream()
            .filter(instance -> instance.condition() == InstanceCondition.STOPPED)
            .map(PoolInstance::domain)
            .distinct()
            .count();
    PoolStopLimits poolLimits = limits.get(pool);
    boolean isSatisfied =
        availableCount >= poolLimits.minimumAvailable()
            && stoppedDomains <= poolLimits.maximumStoppedDomains();
    violations += isSatisfied ? 0 : 1;
  }

  List<PoolInstance> instances(PoolId pool) {
    return instances.values().stream().filter(instance -> instance.pool().equals(pool)).toList();
  }

  List<PoolInstance> instances() {
    return new ArrayList<>(instances.values());
  }

  List<PoolStopLimits> limits() {
    return new ArrayList<>(limits.values());
  }

  int violations() {
    return violations;
  }
}
