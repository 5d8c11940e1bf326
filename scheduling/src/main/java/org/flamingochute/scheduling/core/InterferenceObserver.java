package org.flamingochute.scheduling.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.scheduling.interference.FillerIntensity;
import org.flamingochute.scheduling.interference.InterferenceModel;
import org.flamingochute.scheduling.worker.WorkerKey;

/**
 * Passes the reported tail latencies of serving tasks to the interference model, with the fillers
 * that ran beside them.
 */
final class InterferenceObserver {
  private static final long PASS_INTERVAL_MILLISECONDS = 100;

  /** Reported tail latencies cover the last half second, so more samples say nothing new. */
  private static final long SAMPLE_INTERVAL_MILLISECONDS = 500;

  /** Time after the start of a serving task within which its tail is not comparable. */
  private static final long WARM_UP_MILLISECONDS = 2_000;

  /** The fillers on one worker. */
  private static final class Surroundings {
    private final List<RecentIntensity> fillers = new ArrayList<>(1);
    private long sampledAt = Long.MIN_VALUE / 2;

    /** True while the state or pace of a filler is not known. */
    private boolean uncertain;

    private RecentIntensity filler(String image) {
      for (RecentIntensity filler : fillers) {
        if (filler.image.equals(image)) {
          return filler;
        }
      }
      RecentIntensity added = new RecentIntensity(image);
      fillers.add(added);
      return added;
    }
  }

  private final WorkerRegistry workers;
  private final InterferenceModel model;
  private final Map<WorkerKey, Surroundings> surroundings = new HashMap<>();
  private long passedAt = Long.MIN_VALUE / 2;

  InterferenceObserver(WorkerRegistry workers, InterferenceModel model) {
    this.workers = workers;
    this.model = model;
  }

  /** Passes on what has been reported since the last call, if that is due. */
  void update(long now) {
    if (now - passedAt < PASS_INTERVAL_MILLISECONDS) {
      return;
    }
    passedAt = now;
    surroundings.keySet().removeIf(key -> workers.find(key).isEmpty());
    for (Worker worker : workers.all()) {
      if (worker.hasServingTask()) {
        observe(worker, now);
      } else {
        surroundings.remove(worker.key);
      }
    }
    model.update(now);
  }

  private void observe(Worker worker, long now) {
    Surroundings around = surroundings.computeIfAbsent(worker.key, key -> new Surroundings());
    updateFillers(worker, around, now);
    boolean isDue = now - around.sampledAt >= SAMPLE_INTERVAL_MILLISECONDS;
    if (!isDue || !isComparable(worker, now) || !isSettled(around, now)) {
      return;
    }
    List<FillerIntensity> fillers = new ArrayList<>(around.fillers.size());
    for (RecentIntensity filler : around.fillers) {
      fillers.add(new FillerIntensity(filler.image, filler.highest()));
    }
    for (Task task : worker.tasks.values()) {
      if (hasNewTail(task, around.sampledAt, now)) {
        double tailRatio = (double) task.reportedUsage / task.step.getTailTargetMilliseconds();
        model.observe(task.step.getImage(), worker.key.id(), tailRatio, fillers, now);
      }
    }
    around.sampledAt = now;
  }

  /** Updates the intensities; a paused filler counts as none. */
  private static void updateFillers(Worker worker, Surroundings around, long now) {
    around.uncertain = false;
    for (RecentIntensity filler : around.fillers) {
      filler.current = 0;
    }
    for (Task task : worker.tasks.values()) {
      if (!task.step.getFiller() || !task.isAssigned()) {
        continue;
      }
      task.wasPaced |= task.pacePercent < Task.FULL_PERCENT;
      if (!isPaceKnown(task)) {
        around.uncertain |= task.runState != Task.RunState.RECORDING;
      } else if (task.pacePercent > 0) {
        around.filler(task.step.getImage()).current +=
            (double) task.pacePercent / Task.FULL_PERCENT;
      }
    }
    for (RecentIntensity filler : around.fillers) {
      filler.update(now);
    }
    around.fillers.removeIf(filler -> filler.highest() == 0);
  }

  /** A run that a previous leader recorded may have a pace that this leader has not set. */
  private static boolean isPaceKnown(Task task) {
    boolean isOfPredecessor = task.confirmedAt == Long.MIN_VALUE;
    return task.isRunning()
        && task.pacePercent != Task.UNKNOWN_PACE
        && (task.wasPaced || !isOfPredecessor);
  }

  /** Returns whether the tails on a worker are comparable with those on others. */
  private static boolean isComparable(Worker worker, long now) {
    return worker.leaseConfirmed && !worker.unreachable && !ColdWorkers.countsAsSlow(worker, now);
  }

  private static boolean isSettled(Surroundings around, long now) {
    if (around.uncertain) {
      return false;
    }
    for (RecentIntensity filler : around.fillers) {
      if (!filler.isSettled(now)) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether a serving task has reported a tail since the last sample. */
  private static boolean hasNewTail(Task task, long sampledAt, long now) {
    return task.step.getTailTargetMilliseconds() > 0
        && task.isAvailable()
        && task.reportedUsage > 0
        && task.statusReceivedAt > sampledAt
        && now - task.assignedAt >= WARM_UP_MILLISECONDS;
  }
}
