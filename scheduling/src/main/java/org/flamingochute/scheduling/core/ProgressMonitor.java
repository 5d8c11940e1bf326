package org.flamingochute.scheduling.core;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.scheduling.duration.DurationModel;

/**
 * Detects stalled runs and slow workers.
 *
 * <p>A worker may list a run as running although it makes no progress. Such a run is stopped, and
 * its task is restarted, on another worker if possible. A worker whose tasks progress at less than
 * half the pool's median speed is marked as slow, and {@link WorkerSelector} ranks it behind
 * others.
 */
final class ProgressMonitor {
  /** Time without progress after which a run is stalled. */
  private static final long STALL_MILLISECONDS = 1_600;

  /**
   * Time without progress after which a long-running task that is not yet available is stalled; it
   * becomes available within this time of its start.
   */
  private static final long LONG_RUNNING_STALL_MILLISECONDS = 4_000;

  /**
   * Expected duration above which tasks other than long-running ones are not monitored, since a
   * healthy run may report the same percentage for longer than {@link #STALL_MILLISECONDS}.
   */
  private static final long MAXIMUM_MONITORED_MILLISECONDS = 30_000;

  /** Fraction of the pool's median speed below which a worker is slow. */
  private static final double SLOW_SPEED_RATIO = 0.5;

  private static final int MINIMUM_WORKERS_FOR_COMPARISON = 3;

  private final WorkerRegistry workers;
  private final TaskLifecycle lifecycle;
  private final DurationModel durations;
  private long predictorChanges;

  ProgressMonitor(WorkerRegistry workers, TaskLifecycle lifecycle, DurationModel durations) {
    this.workers = workers;
    this.lifecycle = lifecycle;
    this.durations = durations;
  }

  void update(long now) {
    for (Worker worker : workers.all()) {
      if (worker.unreachable) {
        continue;
      }
      for (Task task : List.copyOf(worker.tasks.values())) {
        if (isStalled(task, now)) {
          lifecycle.stopStalledRun(task, now);
        }
      }
    }
    if (predictorChanges != durations.predictorChanges()) {
      predictorChanges = durations.predictorChanges();
      resetIdleSpeeds();
    }
    markSlowWorkers();
  }

  /**
   * Forgets the speeds of workers without monitored tasks. Theirs are relative to durations that
   * are no longer expected, and would stay so until the workers run tasks again.
   */
  private void resetIdleSpeeds() {
    for (Worker worker : workers.all()) {
      boolean isIdle = true;
      for (Task task : worker.tasks.values()) {
        isIdle &= task.step.getLongRunning();
      }
      if (isIdle) {
        worker.speed.reset();
      }
    }
  }

  private static boolean isStalled(Task task, long now) {
    if (!task.isRunning()
        || task.percent >= Task.FULL_PERCENT
        || task.pacePercent < Task.FULL_PERCENT) {
      return false;
    }
    // Progress is only known up to the last status, so time is measured up to its arrival.
    long unchangedMilliseconds = task.statusReceivedAt - task.percentChangedAt;
    if (task.step.getLongRunning()) {
      return unchangedMilliseconds >= LONG_RUNNING_STALL_MILLISECONDS;
    }
    return task.expectedMilliseconds() <= MAXIMUM_MONITORED_MILLISECONDS
        && unchangedMilliseconds >= STALL_MILLISECONDS;
  }

  private void markSlowWorkers() {
    Map<PoolId, List<Double>> speedsByPool = new HashMap<>();
    for (Worker worker : workers.all()) {
      if (worker.listed && worker.speed.isKnown()) {
        speedsByPool
            .computeIfAbsent(worker.report.pool(), pool -> new ArrayList<>())
            .add(worker.speed.value());
      }
    }
    speedsByPool.values().forEach(Collections::sort);
    for (Worker worker : workers.all()) {
      List<Double> poolSpeeds = speedsByPool.getOrDefault(worker.report.pool(), List.of());
      worker.slow =
          poolSpeeds.size() >= MINIMUM_WORKERS_FOR_COMPARISON
              && worker.speed.isKnown()
              && worker.speed.value() < SLOW_SPEED_RATIO * poolSpeeds.get(poolSpeeds.size() / 2);
    }
  }
}
