package org.flamingochute.scheduling.core;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import org.flamingochute.scheduling.worker.WorkerKey;

/**
 * Slows fillers, tasks that use idle capacity, while a serving task on the same worker is near its
 * tail latency target.
 *
 * <p>How much a filler interferes differs by image and changes within seconds, so the pace is
 * controlled by measured latency. It is halved as soon as a tail latency comes near its target, and
 * fillers are paused if that is not enough, well within the time for which a tail latency may
 * exceed its target. The pace rises in small steps, each at least {@link
 * #SPEED_UP_INTERVAL_MILLISECONDS} after the last change, and only while all tail latencies are
 * well below their targets; this hysteresis prevents oscillation.
 */
final class FillerPacer {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Fraction of the tail target from which fillers slow down. */
  private static final double SLOW_DOWN_RATIO = 0.85;

  /** Fraction of the tail target up to which fillers may speed up. */
  private static final double SPEED_UP_RATIO = 0.6;

  /** Time before the next slowdown: reported tail latencies cover the last half second. */
  private static final long SLOW_DOWN_INTERVAL_MILLISECONDS = 700;

  private static final long SPEED_UP_INTERVAL_MILLISECONDS = 3_000;
  private static final int SPEED_UP_STEP_PERCENT = 20;
  private static final int MINIMUM_PACE_PERCENT = 25;

  private static final class Pace {
    private int percent = Task.FULL_PERCENT;
    private long changedAt = Long.MIN_VALUE / 2;
  }

  private final WorkerRegistry workers;
  private final Outbox outbox;
  private final Map<WorkerKey, Pace> paces = new HashMap<>();

  FillerPacer(WorkerRegistry workers, Outbox outbox) {
    this.workers = workers;
    this.outbox = outbox;
  }

  /** Updates the pace of the fillers on every worker. */
  void updatePaces(long now) {
    paces.keySet().removeIf(key -> workers.find(key).isEmpty());
    for (Worker worker : workers.all()) {
      if (worker.hasFiller()) {
        updatePaces(worker, now);
      }
    }
  }

  private void updatePaces(Worker worker, long now) {
    Pace pace = paces.computeIfAbsent(worker.key, key -> new Pace());
    double tailRatio = tailRatio(worker);
    long millisecondsSinceChange = now - pace.changedAt;
    if (tailRatio >= SLOW_DOWN_RATIO
        && pace.percent > 0
        && millisecondsSinceChange >= SLOW_DOWN_INTERVAL_MILLISECONDS) {
      int halvedPercent = pace.percent / 2;
      setPace(
          worker, pace, halvedPercent < MINIMUM_PACE_PERCENT ? 0 : halvedPercent, tailRatio, now);
    } else if (tailRatio <= SPEED_UP_RATIO
        && pace.percent < Task.FULL_PERCENT
        && millisecondsSinceChange >= SPEED_UP_INTERVAL_MILLISECONDS) {
      setPace(
          worker,
          pace,
          Math.min(Task.FULL_PERCENT, pace.percent + SPEED_UP_STEP_PERCENT),
          tailRatio,
          now);
    }
    sendPace(worker, pace);
  }

  /**
   * Returns the highest ratio of a serving task's tail latency to its target; 0 without serving
   * tasks.
   */
  private static double tailRatio(Worker worker) {
    double highest = 0;
    for (Task task : worker.tasks.values()) {
      long target = task.step.getTailTargetMilliseconds();
      if (target > 0 && task.isRunning()) {
        highest = Math.max(highest, (double) task.reportedUsage / target);
      }
    }
    return highest;
  }

  private static void setPace(Worker worker, Pace pace, int percent, double tailRatio, long now) {
    logger.atInfo().log(
        "event=fillers_paced worker=%s percent=%d before=%d strain=%.2f",
        worker.key, percent, pace.percent, tailRatio);
    pace.percent = percent;
    pace.changedAt = now;
  }

  /** Sends the pace to fillers that run at another one, including newly started fillers. */
  private void sendPace(Worker worker, Pace pace) {
    for (Task task : worker.tasks.values()) {
      if (task.step.getFiller() && task.isRunning() && task.pacePercent != pace.percent) {
        task.pacePercent = pace.percent;
        task.timer.invalidate();
        outbox.sendNow(
            new SchedulerCommand.PaceTask(worker.key, task.id, task.attempt, pace.percent));
      }
    }
  }
}
