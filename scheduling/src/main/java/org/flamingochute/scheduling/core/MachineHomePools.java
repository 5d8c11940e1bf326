package org.flamingochute.scheduling.core;

import java.util.HashMap;
import java.util.Map;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.scheduling.fleet.Machine;
import org.flamingochute.schema.scheduling.PoolHistory;

/** The home pool of each machine: the one in which a leader first observed it. */
final class MachineHomePools {
  private final MachineInventory machines;
  private final Map<MachineId, PoolId> homePools = new HashMap<>();

  MachineHomePools(MachineInventory machines) {
    this.machines = machines;
  }

  /** Restores the home pools that a previous leader recorded. */
  void restore(PoolHistory history) {
    history
        .getMachineHomesMap()
        .forEach((machine, pool) -> homePools.put(new MachineId(machine), new PoolId(pool)));
  }

  /** Adds the home pools to a record. */
  void record(PoolHistory.Builder history) {
    homePools.forEach((machine, pool) -> history.putMachineHomes(machine.value(), pool.value()));
  }

  /** Records the home pools of new machines; returns whether there were any. */
  boolean recordNewMachines() {
    boolean changed = false;
    for (Machine machine : machines.all()) {
      changed |= homePools.putIfAbsent(machine.id(), machine.pool()) == null;
    }
    return changed;
  }

  /** Returns the number of machines with the given home pool that are not down. */
  int countAvailable(PoolId pool) {
    int count = 0;
    for (Machine machine : machines.all()) {
      boolean isAvailable = machine.state() != Machine.State.DOWN;
      if (isAvailable && pool.equals(homePools.get(machine.id()))) {
        count++;
      }
    }
    return count;
  }
}
