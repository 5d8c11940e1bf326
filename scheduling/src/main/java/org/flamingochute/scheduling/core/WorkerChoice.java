package org.flamingochute.scheduling.core;

import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.decision.placement.WorkerHealth;
import org.flamingochute.schema.scheduling.QueuedStep;

/**
 * Chooses the worker for one task.
 *
 * <p>Among the workers that may run it, one near the task's data comes first, then one on which the
 * task has not failed; a filler avoids workers with serving tasks and the other way round; last,
 * the fullest worker wins, so that others stay empty and can be moved or maintained.
 */
final class WorkerChoice {
  private final WorkerHealth health;

  WorkerChoice(WorkerHealth health) {
    this.health = health;
  }

  /** Returns the best worker that may run the task now, or nothing. */
  Optional<Worker> choose(Task task, List<Worker> workers, long now) {
    Worker best = null;
    double bestScore = Double.NEGATIVE_INFINITY;
    ResourceVector room = Worker.roomOf(task.step);
    for (Worker worker : workers) {
      if (!mayRun(task, worker, room, now)) {
        continue;
      }
      double score = score(task, worker);
      if (score > bestScore) {
        best = worker;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }

  private boolean mayRun(Task task, Worker worker, ResourceVector room, long now) {
    if (!worker.isUsable() || !room.fitsIn(worker.free())) {
      return false;
    }
    QueuedStep step = task.step;
    if (!step.getRequiredLabel().isEmpty()
        && !worker.report.labels().contains(step.getRequiredLabel())) {
      return false;
    }
    if (step.getMaximumPerWorker() > 0 && tasksOfStep(task, worker) >= step.getMaximumPerWorker()) {
      return false;
    }
    return worker.tasks.size() < health.jobLimit(worker.key.id(), now);
  }

  private static int tasksOfStep(Task task, Worker worker) {
    int count = 0;
    for (Task other : worker.tasks.values()) {
      boolean sameStep = other.occurrence == task.occurrence && other.id.step() == task.id.step();
      if (sameStep) {
        count++;
      }
    }
    return count;
  }

  private static final double DATA_WEIGHT = 100;
  private static final double FAILED_BEFORE_WEIGHT = 200;
  private static final double INTERFERENCE_WEIGHT = 50;
  private static final double SLOW_WEIGHT = 150;

  private static double score(Task task, Worker worker) {
    double score = worker.used().dominantPart(worker.report.capacity());
    String preferred = task.step.getPreferredRack();
    if (!preferred.isEmpty() && worker.report.labels().contains(preferred)) {
      score += DATA_WEIGHT;
    }
    if (task.failedOn.contains(worker.key.id())) {
      score -= FAILED_BEFORE_WEIGHT;
    }
    if (worker.slow) {
      score -= SLOW_WEIGHT;
    }
    boolean interferes =
        task.step.getFiller() && worker.hasServingTask()
            || task.step.getTailTargetMilliseconds() > 0 && worker.hasFiller();
    return interferes ? score - INTERFERENCE_WEIGHT : score;
  }
}
