package org.flamingochute.scheduling.core;

import java.util.List;

/**
 * Removes the tasks from a worker before its machine is maintained in a wave.
 *
 * <p>Tasks that end by themselves are left to finish. A long-running task is stopped, to be
 * restarted on another worker, only while fewer other tasks of its step are unavailable than the
 * step's maximum, if it has one. So evacuation never makes more tasks of a step unavailable than
 * that, however many workers are evacuated at once.
 */
final class WorkerEvacuator {
  private final TaskLifecycle lifecycle;

  WorkerEvacuator(TaskLifecycle lifecycle) {
    this.lifecycle = lifecycle;
  }

  /**
   * Cordons the worker and stops all tasks that may be stopped now; returns whether it is empty.
   */
  boolean stopMovableTasks(Worker worker, long now) {
    worker.cordoned = true;
    for (Task task : List.copyOf(worker.tasks.values())) {
      if (task.step.getLongRunning() && task.runState == Task.RunState.RUNNING && canStop(task)) {
        lifecycle.stopRun(task, now);
      }
    }
    return worker.tasks.isEmpty();
  }

  /** Returns whether the task's step tolerates one more unavailable task. */
  static boolean canStop(Task task) {
    int maximumUnavailable = task.step.getMaximumUnavailable();
    if (maximumUnavailable == 0) {
      return true;
    }
    int unavailable = 0;
    for (Task other : task.occurrence.tasksOf(task.id.step())) {
      if (other != task && !other.isAvailable()) {
        unavailable++;
      }
    }
    return unavailable < maximumUnavailable;
  }
}
