package org.flamingochute.scheduling.core;

import java.util.HashMap;
import java.util.Map;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.schema.scheduling.QueuedStep;

/**
 * Machines that pools lack because no worker has room for waiting tasks.
 *
 * <p>Large tasks leave parts of each worker unused: of workers with 64 cores, tasks of 22 cores
 * fill two thirds. So the sum of all reservations does not tell how many machines a pool needs, and
 * tasks would wait although the pool seems to have enough. So the tasks that were not placed are
 * counted.
 */
final class CapacityShortage {
  /** Time for which tasks must have found no room; most find some when others end. */
  private static final long MINIMUM_DURATION_MILLISECONDS = 150;

  private static final class Shortage {
    private double machines;
    private int workers;
    private long since = Long.MAX_VALUE;
  }

  private final Map<PoolId, Shortage> shortages = new HashMap<>();

  /** Begins a new pass of placement. */
  void beginPass() {
    for (Shortage shortage : shortages.values()) {
      shortage.machines = 0;
    }
  }

  /**
   * Adds tasks of a step that were not placed, for whatever reason.
   *
   * @param workers number of workers in the pool that tasks could be placed on
   * @param capacity capacity of the first of them, which stands for all
   */
  void add(PoolId pool, QueuedStep step, int tasks, int workers, ResourceVector capacity) {
    long tasksPerMachine = tasksPerMachine(step, capacity);
    // Another machine of the pool would not help a task that needs a label or a larger machine.
    if (tasksPerMachine == 0 || !step.getRequiredLabel().isEmpty()) {
      return;
    }
    Shortage shortage = shortages.computeIfAbsent(pool, id -> new Shortage());
    shortage.machines += (double) tasks / tasksPerMachine;
    shortage.workers = workers;
  }

  /** Returns how many tasks of a step run on one empty machine. */
  static long tasksPerMachine(QueuedStep step, ResourceVector capacity) {
    ResourceVector reservation = Worker.reservationOf(step);
    long count =
        Math.min(
            fitting(reservation.processorMillicores(), capacity.processorMillicores()),
            Math.min(
                fitting(reservation.memoryMebibytes(), capacity.memoryMebibytes()),
                fitting(reservation.accelerators(), capacity.accelerators())));
    int maximum = step.getMaximumPerWorker();
    return maximum == 0 ? count : Math.min(count, maximum);
  }

  private static long fitting(long amount, long capacity) {
    return amount == 0 ? Integer.MAX_VALUE : capacity / amount;
  }

  /** Ends a pass of placement. */
  void endPass(long now) {
    for (Shortage shortage : shortages.values()) {
      boolean isShort = shortage.machines > 0;
      shortage.since = isShort ? Math.min(shortage.since, now) : Long.MAX_VALUE;
    }
  }

  /**
   * Returns how many machines a pool has lacked for a while.
   *
   * @param workers number of workers in the pool that tasks can be placed on now; those that have
   *     been added since the last pass of placement have room
   */
  int missingMachines(PoolId pool, int workers, long now) {
    Shortage shortage = shortages.get(pool);
    if (shortage == null || shortage.since > now - MINIMUM_DURATION_MILLISECONDS) {
      return 0;
    }
    int added = Math.max(0, workers - shortage.workers);
    return Math.max(0, (int) Math.ceil(shortage.machines) - added);
  }
}
