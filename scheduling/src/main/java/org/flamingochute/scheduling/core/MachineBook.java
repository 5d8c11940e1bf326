package org.flamingochute.scheduling.core;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.scheduling.fleet.Machine;

/** The machines as the platform listed them last. */
final class MachineBook {
  private Map<MachineId, Machine> machines = new LinkedHashMap<>();
  private Map<InstanceId, Machine> byWorker = new LinkedHashMap<>();
  private long listedAt = Long.MIN_VALUE;

  /**
   * Replaces the list.
   *
   * @param askedAt time at which the list was asked for
   */
  void replace(List<Machine> listed, long askedAt) {
    machines = new LinkedHashMap<>();
    byWorker = new LinkedHashMap<>();
    for (Machine machine : listed) {
      machines.put(machine.id(), machine);
      machine.worker().ifPresent(worker -> byWorker.put(worker, machine));
    }
    listedAt = askedAt;
  }

  Optional<Machine> find(MachineId id) {
    return Optional.ofNullable(machines.get(id));
  }

  Optional<Machine> of(InstanceId worker) {
    return Optional.ofNullable(byWorker.get(worker));
  }

  Collection<Machine> all() {
    return machines.values();
  }

  boolean isEmpty() {
    return machines.isEmpty();
  }

  long listedAt() {
    return listedAt;
  }
}
