package org.flamingochute.scheduling.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.scheduling.fleet.Machine;

/**
 * The order in which the machines of a wave are maintained.
 *
 * <p>Machines of the standby pool come first, since nobody waits for them, and machines of pools
 * that need all they have come last. Load alone would select the machines that have just arrived in
 * such a pool, because they have no tasks yet. Within each group the least loaded machine comes
 * first. A machine whose move was ordered is left out until the list of machines shows where it is:
 * until then the list names its former worker, and the tasks of its new one would not be seen.
 */
final class MaintenanceOrder {
  private final MachineInventory machines;
  private final WorkerRegistry workers;
  private Optional<PoolId> standbyPool = Optional.empty();
  private Set<PoolId> busyPools = Set.of();
  private Set<MachineId> movingMachines = Set.of();

  MaintenanceOrder(MachineInventory machines, WorkerRegistry workers) {
    this.machines = machines;
    this.workers = workers;
  }

  /**
   * Updates what the planner of the pools knows.
   *
   * @param newestStandbyPool the standby pool
   * @param newestBusyPools pools that need all their machines
   * @param newestMovingMachines machines whose move was ordered and is not listed yet
   */
  void update(
      Optional<PoolId> newestStandbyPool,
      Set<PoolId> newestBusyPools,
      Set<MachineId> newestMovingMachines) {
    standbyPool = newestStandbyPool;
    busyPools = Set.copyOf(newestBusyPools);
    movingMachines = Set.copyOf(newestMovingMachines);
  }

  /** Returns the machines that may be maintained, in the order in which they should be. */
  List<MachineId> sort(List<MachineId> candidates) {
    List<MachineId> sorted = new ArrayList<>(candidates);
    sorted.removeIf(movingMachines::contains);
    sorted.sort(Comparator.comparingInt(this::poolRank).thenComparingDouble(this::loadOf));
    return sorted;
  }

  private int poolRank(MachineId machine) {
    Optional<PoolId> pool = machines.find(machine).map(Machine::pool);
    if (pool.isEmpty() || pool.equals(standbyPool)) {
      return 0;
    }
    return busyPools.contains(pool.get()) ? 2 : 1;
  }

  private double loadOf(MachineId machine) {
    return machines
        .find(machine)
        .flatMap(Machine::worker)
        .flatMap(workers::find)
        .map(worker -> worker.usedCapacity().dominantShare(worker.report.capacity()))
        .orElse(0.0);
  }
}
