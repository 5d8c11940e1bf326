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
import org.flamingochute.decision.maintenance.PoolGuard;
import org.flamingochute.decision.maintenance.PoolInstance;
import org.flamingochute.experiment.model.Company;

/** Pools of instances whose conditions change, with a check of their guards after each change. */
final class SimulatedFleet {

  private final Map<InstanceId, PoolInstance> instances = new LinkedHashMap<>();
  private final Map<PoolId, PoolGuard> guards = new LinkedHashMap<>();
  private int violations;

  /** Adds a pool, in racks that are spread over the data centres. */
  void addPool(String name, int size, int minimumAvailable, int maximumStoppedDomains) {
    PoolId pool = new PoolId(name);
    guards.put(pool, new PoolGuard(pool, minimumAvailable, maximumStoppedDomains));
    for (int i = 0; i < size; i++) {
      int rack = i / Company.RACK_SIZE;
      InstanceId id = new InstanceId(name + "-" + i);
      instances.put(
          id,
          new PoolInstance(
              id,
              pool,
              new DataCentreId("dc-" + rack % Company.DATA_CENTRES),
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
    checkGuard(instance.pool());
  }

  void remove(InstanceId id) {
    instances.remove(id);
  }

  /** Counts a violation when a pool has fewer available instances than its budget says. */
  private void checkGuard(PoolId pool) {
    long available = instances(pool).stream().filter(PoolInstance::isAvailable).count();
    long domains =
        instances(pool).stream()
            .filter(instance -> instance.condition() == InstanceCondition.STOPPED)
            .map(PoolInstance::domain)
            .distinct()
            .count();
    PoolGuard guard = guards.get(pool);
    boolean kept =
        available >= guard.minimumAvailable() && domains <= guard.maximumStoppedDomains();
    violations += kept ? 0 : 1;
  }

  List<PoolInstance> instances(PoolId pool) {
    return instances.values().stream().filter(instance -> instance.pool().equals(pool)).toList();
  }

  List<PoolInstance> instances() {
    return new ArrayList<>(instances.values());
  }

  List<PoolGuard> guards() {
    return new ArrayList<>(guards.values());
  }

  int violations() {
    return violations;
  }
}
