package org.flamingochute.scheduling.core;

import org.flamingochute.scheduling.core.WorkerSuspensions.TrialCost;

/**
 * Decides which tasks may be tried on a suspended worker, and how many at a time.
 *
 * <p>A worker has one trial run at a time until one of them has lived on for a while; each that has
 * allows one more. So the number of runs that a broken worker can burn at once stays small, and a
 * sound worker on which long tasks are tried is soon used to the full before the first has ended.
 */
final class TrialRuns {
  /** Time after which a run that makes progress is unlike those that fail at their start. */
  private static final long MINIMUM_LIFE_MILLISECONDS = 1_000;

  private final WorkerSuspensions suspensions;

  TrialRuns(WorkerSuspensions suspensions) {
    this.suspensions = suspensions;
  }

  /** Returns whether a task may be tried on a suspended worker now. */
  boolean mayTry(Task task, Worker worker, long now) {
    return suspensions.isTrialDue(worker.key.id(), costOf(task), now) && hasTrialLeft(worker, now);
  }

  private static TrialCost costOf(Task task) {
    if (task.step.getLongRunning()) {
      return TrialCost.FREE;
    }
    boolean hasSeveralAttempts = task.job.policy.getMaximumAttempts() > 1;
    return hasSeveralAttempts && !hasFailed(task) ? TrialCost.ATTEMPT : TrialCost.HIGH;
  }

  private static boolean hasFailed(Task task) {
    return task.step.getGang()
        ? task.occurrence.failedGangRuns(task.id.step()).count() > 0
        : task.failures > 0;
  }

  private boolean hasTrialLeft(Worker worker, long now) {
    long lastFailureAt = suspensions.lastFailureAt(worker.key.id());
    int unproven = 0;
    int proven = 0;
    for (Task task : worker.tasks.values()) {
      if (!task.isRunning()) {
        unproven++;
        continue;
      }
      boolean isTrial = task.assignedAt > lastFailureAt;
      if (isTrial && hasLivedOn(task, now)) {
        proven++;
      } else if (isTrial) {
        unproven++;
      }
    }
    return unproven <= proven;
  }

  private static boolean hasLivedOn(Task task, long now) {
    if (task.step.getLongRunning()) {
      return task.percent >= Task.FULL_PERCENT;
    }
    return task.percent > 0 && now - task.assignedAt >= MINIMUM_LIFE_MILLISECONDS;
  }
}
