package org.flamingochute.scheduling.core;

import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.placement.ResourceVector;

/**
 * Computes how many machines each pool should have, and how many it keeps when it lends.
 *
 * <p>A pool should have the machines for its load, and a minimum, which depends on when its next
 * peak may start. Before the first peak of any pool, and while the pool's own peak is due, the
 * minimum is the number of its home machines. While the pool's turn is unknown but some pool's peak
 * is due, it is a part of them: all such pools together would otherwise hold most of the fleet
 * idle, and only one of them peaks next. At all other times it is what the long-running tasks need
 * and a small reserve.
 */
final class PoolRequirements {
  /** Fraction of a machine that placement can fill before tasks no longer fit. */
  private static final double PACKING_LIMIT = 0.9;

  /**
   * Time before an expected peak at which machines are moved back: covers a move and the first
   * lease.
   */
  private static final long PEAK_LEAD_MILLISECONDS = 2_200;

  /** Time before an expected peak from which a pool lends no more machines. */
  private static final long LENDING_STOP_MILLISECONDS = 4_000;

  /** Machines that a pool keeps between peaks in addition to those for its long-running tasks. */
  private static final int RESERVE_MACHINES = 1;

  /** Fraction of its own machines that a pool has while its turn is not known and a peak is due. */
  private static final double UNKNOWN_FRACTION = 0.75;

  private final LoadPeakForecast forecast;
  private final MachineHomePools homePools;

  PoolRequirements(LoadPeakForecast forecast, MachineHomePools homePools) {
    this.forecast = forecast;
    this.homePools = homePools;
  }

  /** Sets the plan's numbers of machines; returns whether a peak of the pool started. */
  boolean update(
      PoolPlan plan, PoolLoad load, ResourceVector machineCapacity, long wallClockMilliseconds) {
    PoolId pool = plan.pool.id();
    int homeCount = homePools.countAvailable(pool);
    double peakLoad = load.batch().dominantShare(machineCapacity) / Math.max(1, homeCount);
    final boolean peakStarted = forecast.observe(pool, peakLoad, wallClockMilliseconds);
    int longRunningCount = machinesFor(load.longRunning().dominantShare(machineCapacity));
    plan.machinesForLoad = machinesFor(load.total().dominantShare(machineCapacity));
    if (plan.missingMachines > 0) {
      plan.machinesForLoad =
          Math.max(plan.machinesForLoad, plan.settledCount + plan.missingMachines);
    }
    int minimum = minimumCount(pool, homeCount, longRunningCount, wallClockMilliseconds);
    plan.requiredMachines = Math.max(plan.machinesForLoad, Math.min(homeCount, minimum));
    setLendingFloors(plan, longRunningCount, wallClockMilliseconds);
    return peakStarted;
  }

  private static int machinesFor(double load) {
    return (int) Math.ceil(load / PACKING_LIMIT);
  }

  private int minimumCount(
      PoolId pool, int homeCount, int longRunningCount, long wallClockMilliseconds) {
    if (!forecast.hasAnyPeaked()) {
      return homeCount;
    }
    if (forecast.isNextPeakUnknown(pool)) {
      boolean due = forecast.isAnyPeakDue(wallClockMilliseconds, PEAK_LEAD_MILLISECONDS);
      int part = (int) Math.ceil(homeCount * UNKNOWN_FRACTION);
      return longRunningCount + (due ? part : RESERVE_MACHINES);
    }
    boolean needsAll =
        forecast.isAtPeak(pool)
            || forecast.isPeakDue(pool, wallClockMilliseconds, PEAK_LEAD_MILLISECONDS);
    return needsAll ? homeCount : longRunningCount + RESERVE_MACHINES;
  }

  /**
   * Sets how many machines a pool keeps when it lends. While {@link LoadPeakForecast#canLend}
   * allows it, a pool lends all machines except those for its load and its reserve; otherwise only
   * those in excess of its required number. A pool whose next peak is unknown may peak at any time,
   * but the waiting load of an overloaded pool is certain, so it lends to such a pool at least half
   * of the machines that it could spare.
   */
  private void setLendingFloors(PoolPlan plan, int longRunningCount, long wallClockMilliseconds) {
    PoolId pool = plan.pool.id();
    int minimumCount =
        Math.min(
            plan.requiredMachines,
            Math.max(plan.machinesForLoad, longRunningCount + RESERVE_MACHINES));
    boolean canLend = forecast.canLend(pool, wallClockMilliseconds, LENDING_STOP_MILLISECONDS);
    plan.lendingFloor = canLend ? minimumCount : plan.requiredMachines;
    plan.overloadLendingFloor =
        forecast.isNextPeakUnknown(pool)
            ? Math.min(plan.lendingFloor, (plan.requiredMachines + minimumCount + 1) / 2)
            : plan.lendingFloor;
  }
}
