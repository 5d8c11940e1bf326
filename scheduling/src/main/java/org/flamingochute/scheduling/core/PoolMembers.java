package org.flamingochute.scheduling.core;

import java.util.ArrayList;
import java.util.List;
import org.flamingochute.scheduling.fleet.Machine;
import org.flamingochute.scheduling.fleet.Pool;

/** The machines of one pool, and what the planner found of its needs. */
final class PoolMembers {
  final Pool pool;

  /** Machines that may move. */
  final List<Machine> idle = new ArrayList<>();

  /** Machines in the pool or on their way to it. */
  int count;

  /** Machines that the pool should have now. */
  int need;

  /** Machines that the present load asks for. */
  int asked;

  /** Machines below which the pool lends none to a pool that keeps too few. */
  int lendingFloor;

  /** Machines below which the pool lends none to a pool whose load exceeds its machines. */
  int helpingFloor;

  PoolMembers(Pool pool) {
    this.pool = pool;
  }
}
