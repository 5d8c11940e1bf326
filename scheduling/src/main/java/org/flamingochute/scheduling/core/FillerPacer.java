package org.flamingochute.scheduling.core;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import org.flamingochute.scheduling.worker.WorkerKey;

/**
 * Slows tasks that use idle capacity while a serving task beside them is near its tail target.
 *
 * <p>How much a filler disturbs differs by image and changes within seconds, so the pace is
 * controlled by what is measured: it is halved as soon as a tail comes near its target and stops
 * altogether at the next sign, well within the time that a tail may stay above its target. It rises
 * by small steps, and only after the tails were low for a while; this hysteresis keeps the pace
 * from swinging.
 */
final class FillerPacer {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Part of the target above which fillers slow down. */
  private static final double HIGH = 0.85;

  /** Part of the target below which fillers may speed up. */
  private static final double LOW = 0.6;

  /** Pause between two changes: the tail is a figure for the last half second. */
  private static final long DOWN_MILLISECONDS = 700;

  private static final long UP_MILLISECONDS = 3_000;
  private static final int UP_PERCENT = 20;
  private static final int SLOWEST_PERCENT = 25;

  private static final class Pace {
    private int percent = Task.FULL_PACE;
    private long changedAt = Long.MIN_VALUE / 2;
  }

  private final WorkerBook workers;
  private final Outbox outbox;
  private final Map<WorkerKey, Pace> paces = new HashMap<>();

  FillerPacer(WorkerBook workers, Outbox outbox) {
    this.workers = workers;
    this.outbox = outbox;
  }

  /** Sets the pace of the fillers on every worker. */
  void advance(long now) {
    paces.keySet().removeIf(key -> workers.find(key).isEmpty());
    for (Worker worker : workers.all()) {
      if (worker.hasFiller()) {
        advance(worker, now);
      }
    }
  }

  private void advance(Worker worker, long now) {
    Pace pace = paces.computeIfAbsent(worker.key, key -> new Pace());
    double strain = strain(worker);
    long sinceChange = now - pace.changedAt;
    if (strain >= HIGH && pace.percent > 0 && sinceChange >= DOWN_MILLISECONDS) {
      int half = pace.percent / 2;
      change(worker, pace, half < SLOWEST_PERCENT ? 0 : half, strain, now);
    } else if (strain <= LOW && pace.percent < Task.FULL_PACE && sinceChange >= UP_MILLISECONDS) {
      change(worker, pace, Math.min(Task.FULL_PACE, pace.percent + UP_PERCENT), strain, now);
    }
    order(worker, pace);
  }

  /** Returns the highest tail of a serving task as a part of its target; 0 without one. */
  private static double strain(Worker worker) {
    double highest = 0;
    for (Task task : worker.tasks.values()) {
      long target = task.step.getTailTargetMilliseconds();
      if (target > 0 && task.isRunning()) {
        highest = Math.max(highest, (double) task.usage / target);
      }
    }
    return highest;
  }

  private static void change(Worker worker, Pace pace, int percent, double strain, long now) {
    logger.atInfo().log(
        "event=fillers_paced worker=%s percent=%d before=%d strain=%.2f",
        worker.key, percent, pace.percent, strain);
    pace.percent = percent;
    pace.changedAt = now;
  }

  /** Sends the pace to fillers that work at another one, also to those that started meanwhile. */
  private void order(Worker worker, Pace pace) {
    for (Task task : worker.tasks.values()) {
      if (task.step.getFiller() && task.isRunning() && task.pacePercent != pace.percent) {
        task.pacePercent = pace.percent;
        outbox.now(new SchedulerCommand.PaceTask(worker.key, task.id, task.attempt, pace.percent));
      }
    }
  }
}
