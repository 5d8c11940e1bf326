package org.flamingochute.scheduling.core;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.scheduling.fleet.Machine;

/** The machines in the platform's newest list. */
final class MachineInventory {
  private Map<MachineId, Machine> machines = new LinkedHashMap<>();
  private Map<InstanceId, Machine> byWorker = new LinkedHashMap<>();
  private long listedAt = Long.MIN_VALUE;

  /**
   * Replaces the list of machines.
   *
   * @param requestedAt time at which the list was requested
   */
  void replace(List<Machine> listed, long requestedAt) {
    machines = new LinkedHashMap<>();
    byWorker = new LinkedHashMap<>();
    for (Machine machine : listed) {
      machines.put(machine.id(), machine);
      machine.worker().ifPresent(worker -> byWorker.put(worker, machine));
    }
    listedAt = requestedAt;
  }

  Optional<Machine> find(MachineId id) {
    return Optional.ofNullable(machines.get(id));
  }

  Optional<Machine> findByWorker(InstanceId worker) {
    return Optional.ofNullable(byWorker.get(worker));
  }

  Collection<Machine> all() {
    return machines.values();
  }

  boolean isEmpty() {
    return machines.isEmpty();
  }

  /** Returns the time at which the newest list was requested. */
  long listedAt() {
    return listedAt;
  }
}
