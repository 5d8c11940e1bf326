package org.flamingochute.scheduling.core;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.flamingochute.decision.placement.ResourceVector;

/**
 * Selects a worker for one task.
 *
 * <p>Among the workers that can run the task, the one with the highest score is selected. In order
 * of weight, the score is lower for a worker on which the task has failed and for a slow or cold
 * one, higher for one in the task's preferred rack, and lower for a worker with serving tasks if
 * the task is a filler, and vice versa, unless their images are known to be harmless to each other.
 * The weights are added, so a combination may outweigh a larger one: a worker in the preferred rack
 * on which the task has failed ranks above a slow one elsewhere. Among equals the fullest worker is
 * selected, so that others stay empty and can be moved or maintained.
 */
final class WorkerSelector {
  private final WorkerSuspensions suspensions;
  private final TrialRuns trialRuns;
  private final InterferencePenalty interferencePenalty;

  WorkerSelector(WorkerSuspensions suspensions, InterferencePenalty interferencePenalty) {
    this.suspensions = suspensions;
    this.trialRuns = new TrialRuns(suspensions);
    this.interferencePenalty = interferencePenalty;
  }

  /**
   * Returns the best worker that can run the task now, or empty.
   *
   * <p>Suspended workers are left out, unless they are most of the workers that could run the task.
   * Failures on most workers are no sign of a fault of single workers, and without this the task
   * would wait for the end of the suspensions although most capacity is free. If no other worker
   * can run the task, a suspended one is selected for a trial run if one is due.
   */
  Optional<Worker> select(Task task, List<Worker> workers, long now) {
    Optional<Worker> trusted = selectAmong(task, workers, worker -> !isSuspended(worker), now);
    if (trusted.isPresent()) {
      return trusted;
    }
    if (areMostSuspended(task, workers)) {
      return selectAmong(task, workers, worker -> true, now);
    }
    return selectAmong(task, workers, worker -> isTrialPossible(task, worker, now), now);
  }

  private boolean isTrialPossible(Task task, Worker worker, long now) {
    return isSuspended(worker) && trialRuns.mayTry(task, worker, now);
  }

  /** Returns whether a worker is suspended, since jobs have failed on it. */
  boolean isSuspended(Worker worker) {
    return suspensions.isSuspended(worker.key.id());
  }

  private Optional<Worker> selectAmong(
      Task task, List<Worker> workers, Predicate<Worker> isAcceptable, long now) {
    Worker best = null;
    double bestScore = Double.NEGATIVE_INFINITY;
    ResourceVector reservation = Worker.reservationOf(task.step);
    for (Worker worker : workers) {
      if (!canRun(task, worker, reservation) || !isAcceptable.test(worker)) {
        continue;
      }
      double score = score(task, worker, now);
      if (score > bestScore) {
        best = worker;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns whether most workers that could run the task are suspended. Workers that have as many
   * tasks of the step as it allows count too: the task can run there later.
   */
  private boolean areMostSuspended(Task task, List<Worker> workers) {
    ResourceVector reservation = Worker.reservationOf(task.step);
    int suitable = 0;
    int suspended = 0;
    for (Worker worker : workers) {
      if (!hasLabel(task, worker) || !reservation.fitsIn(worker.report.capacity())) {
        continue;
      }
      suitable++;
      if (isSuspended(worker)) {
        suspended++;
      }
    }
    return 2 * suspended > suitable;
  }

  private static boolean canRun(Task task, Worker worker, ResourceVector reservation) {
    return worker.isSchedulable() && worker.hasRoomFor(reservation) && mayRun(task, worker);
  }

  /** Returns whether the task's step allows the worker, whatever its free capacity is. */
  static boolean mayRun(Task task, Worker worker) {
    int maximum = task.step.getMaximumPerWorker();
    return hasLabel(task, worker) && (maximum == 0 || countTasksOfStep(task, worker) < maximum);
  }

  private static boolean hasLabel(Task task, Worker worker) {
    String label = task.step.getRequiredLabel();
    return label.isEmpty() || worker.report.labels().contains(label);
  }

  private static int countTasksOfStep(Task task, Worker worker) {
    int count = 0;
    for (Task other : worker.tasks.values()) {
      boolean sameStep = other.occurrence == task.occurrence && other.id.step() == task.id.step();
      if (sameStep) {
        count++;
      }
    }
    return count;
  }

  private static final double PREFERRED_RACK_WEIGHT = 100;
  private static final double FAILED_BEFORE_WEIGHT = 200;
  private static final double SLOW_WEIGHT = 150;

  private double score(Task task, Worker worker, long now) {
    double score = worker.usedCapacity().dominantShare(worker.report.capacity());
    String preferred = task.step.getPreferredRack();
    if (!preferred.isEmpty() && worker.report.labels().contains(preferred)) {
      score += PREFERRED_RACK_WEIGHT;
    }
    if (task.failedOn.contains(worker.key.id())) {
      score -= FAILED_BEFORE_WEIGHT;
    }
    if (ColdWorkers.countsAsSlow(worker, now)) {
      score -= SLOW_WEIGHT;
    }
    return score - interferencePenalty.of(task, worker);
  }
}
