package org.flamingochute.scheduling.core;

import java.util.List;

/**
 * Empties a worker before its machine goes down, moves or leaves.
 *
 * <p>Runs that end by themselves are waited for. A task that lasts is stopped, to start elsewhere,
 * as long as its step has no more tasks away than it bears; so at most that many are ever away by
 * our own doing, however many workers are emptied at once.
 */
final class Evacuation {
  private final TaskLifecycle lifecycle;

  Evacuation(TaskLifecycle lifecycle) {
    this.lifecycle = lifecycle;
  }

  /** Stops what may be stopped now; tells whether the worker is empty. */
  boolean advance(Worker worker, long now) {
    worker.cordoned = true;
    for (Task task : List.copyOf(worker.tasks.values())) {
      if (task.step.getLongRunning() && task.order == Task.Order.RUNNING && mayStop(task)) {
        lifecycle.stop(task, now);
      }
    }
    return worker.tasks.isEmpty();
  }

  /** Tells whether stopping the task keeps enough of its step at work. */
  static boolean mayStop(Task task) {
    int bearable = task.step.getMaximumUnavailable();
    if (bearable == 0) {
      return true;
    }
    int away = 0;
    for (Task other : task.occurrence.tasksOf(task.id.step())) {
      if (other != task && !other.isAtWork()) {
        away++;
      }
    }
    return away < bearable;
  }
}
