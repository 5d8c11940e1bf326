package org.flamingochute.scheduling.core;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.decision.identity.PoolId;

/**
 * Finds runs that stand still and workers that are slow.
 *
 * <p>A worker can list a run as running although it makes no progress. Such a run is stopped, and
 * its task starts on another worker. A worker on which tasks proceed at less than half the pool's
 * usual speed gets tasks only when no other worker has room.
 */
final class ProgressWatch {
  /** Time without progress after which a run is regarded as stalled. */
  private static final long STALL_MILLISECONDS = 1_600;

  /** Time in which a task that lasts comes to work. */
  private static final long LASTING_STALL_MILLISECONDS = 4_000;

  /** Estimates above this let a healthy run show the same percentage for long. */
  private static final long LONGEST_WATCHED_MILLISECONDS = 30_000;

  /** Part of the pool's usual speed below which a worker is slow. */
  private static final double SLOW = 0.5;

  private static final int MINIMUM_WORKERS = 3;

  private final WorkerBook workers;
  private final TaskLifecycle lifecycle;

  ProgressWatch(WorkerBook workers, TaskLifecycle lifecycle) {
    this.workers = workers;
    this.lifecycle = lifecycle;
  }

  void advance(long now) {
    for (Worker worker : workers.all()) {
      if (worker.unreachable) {
        continue;
      }
      for (Task task : List.copyOf(worker.tasks.values())) {
        if (isStalled(task, now)) {
          lifecycle.stopStalled(task, now);
        }
      }
    }
    markSlow();
  }

  private static boolean isStalled(Task task, long now) {
    if (!task.isRunning() || task.percent >= Task.FULL_PACE || task.pacePercent < Task.FULL_PACE) {
      return false;
    }
    // Progress is known up to the last listing only, so the time of the listing counts.
    long unchanged = task.listedAt - task.percentChangedAt;
    if (task.step.getLongRunning()) {
      return unchanged >= LASTING_STALL_MILLISECONDS;
    }
    return task.step.getEstimateMilliseconds() <= LONGEST_WATCHED_MILLISECONDS
        && unchanged >= STALL_MILLISECONDS;
  }

  private void markSlow() {
    Map<PoolId, List<Double>> speeds = new HashMap<>();
    for (Worker worker : workers.all()) {
      if (worker.listed && worker.speed.isKnown()) {
        speeds
            .computeIfAbsent(worker.report.pool(), pool -> new ArrayList<>())
            .add(worker.speed.value());
      }
    }
    speeds.values().forEach(Collections::sort);
    for (Worker worker : workers.all()) {
      List<Double> pool = speeds.getOrDefault(worker.report.pool(), List.of());
      worker.slow =
          pool.size() >= MINIMUM_WORKERS
              && worker.speed.isKnown()
              && worker.speed.value() < SLOW * pool.get(pool.size() / 2);
    }
  }
}
