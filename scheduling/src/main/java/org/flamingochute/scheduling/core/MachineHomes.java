package org.flamingochute.scheduling.core;

import java.util.HashMap;
import java.util.Map;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.scheduling.fleet.Machine;
import org.flamingochute.schema.scheduling.PoolHistory;

/** The machines' own pools: the ones in which they were at first, before they were ever moved. */
final class MachineHomes {
  private final MachineBook machines;
  private final Map<MachineId, PoolId> homes = new HashMap<>();

  MachineHomes(MachineBook machines) {
    this.machines = machines;
  }

  /** Takes what an earlier scheduler recorded. */
  void restore(PoolHistory history) {
    history
        .getMachineHomesMap()
        .forEach((machine, pool) -> homes.put(new MachineId(machine), new PoolId(pool)));
  }

  /** Adds all to a record. */
  void record(PoolHistory.Builder history) {
    homes.forEach((machine, pool) -> history.putMachineHomes(machine.value(), pool.value()));
  }

  /** Notes the pools of new machines; tells whether there were any. */
  boolean note() {
    boolean changed = false;
    for (Machine machine : machines.all()) {
      changed |= homes.putIfAbsent(machine.id(), machine.pool()) == null;
    }
    return changed;
  }

  /** Returns how many machines a pool has of its own, without those that are down. */
  int count(PoolId pool) {
    int count = 0;
    for (Machine machine : machines.all()) {
      boolean there = machine.state() != Machine.State.DOWN;
      if (there && pool.equals(homes.get(machine.id()))) {
        count++;
      }
    }
    return count;
  }
}
