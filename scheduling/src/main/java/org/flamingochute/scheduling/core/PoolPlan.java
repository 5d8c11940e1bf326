package org.flamingochute.scheduling.core;

import java.util.ArrayList;
import java.util.List;
import org.flamingochute.scheduling.fleet.Machine;
import org.flamingochute.scheduling.fleet.Pool;

/** The machines of one pool and its computed demand, for one pass of the planner. */
final class PoolPlan {
  final Pool pool;

  /** Machines that can be moved to another pool. */
  final List<Machine> movableMachines = new ArrayList<>();

  /** Idle machines in data centres that are to be evacuated. */
  final List<Machine> idleEvacuatedMachines = new ArrayList<>();

  /** Number of machines in the pool or moving to it, not counting those to be evacuated. */
  int machineCount;

  /** Number of counted machines that are not moving, and whose workers were called. */
  int settledCount;

  /** Number of counted machines on whose workers tasks can be placed. */
  int schedulableCount;

  /** Number of machines that waiting tasks need besides the {@link #settledCount} ones. */
  int missingMachines;

  /** Number of counted machines whose workers are cold. */
  int coldMachineCount;

  /** Number of machines that the pool should have now. */
  int requiredMachines;

  /** Number of machines that the pool's current load requires, without any reserve. */
  int machinesForLoad;

  /** Number of machines that the pool keeps when it lends to a pool below its required number. */
  int lendingFloor;

  /**
   * Number of machines that the pool keeps when it lends to a pool whose load exceeds its machines.
   */
  int overloadLendingFloor;

  PoolPlan(Pool pool) {
    this.pool = pool;
  }
}
