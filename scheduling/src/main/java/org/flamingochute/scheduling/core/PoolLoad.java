package org.flamingochute.scheduling.core;

import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.schema.scheduling.QueuedStep;

/** Capacity that the open jobs of one pool demand now. */
final class PoolLoad {
  private ResourceVector longRunning = ResourceVector.ZERO;
  private ResourceVector running = ResourceVector.ZERO;
  private ResourceVector waiting = ResourceVector.ZERO;
  private int waitingTasks;

  /** Adds the tasks of a job that are running or ready to run. */
  void add(Job job, long wallClockMilliseconds) {
    for (Occurrence occurrence : job.occurrences) {
      if (!job.isDue(occurrence.dueMilliseconds, wallClockMilliseconds) || occurrence.isDone()) {
        continue;
      }
      for (int step = 0; step < occurrence.stepCount(); step++) {
        if (!occurrence.isStepDone(step) && occurrence.isReady(step)) {
          addStep(occurrence.tasksOf(step));
        }
      }
    }
  }

  private void addStep(Task[] tasks) {
    int assigned = 0;
    int unassigned = 0;
    for (Task task : tasks) {
      if (task.isAssigned()) {
        assigned++;
      } else if (!task.isDone()) {
        unassigned++;
      }
    }
    QueuedStep step = tasks[0].step;
    ResourceVector reservation = Worker.reservationOf(step);
    if (step.getLongRunning()) {
      longRunning = longRunning.plus(reservation.times(assigned + unassigned));
      return;
    }
    running = running.plus(reservation.times(assigned));
    waiting = waiting.plus(reservation.times(unassigned));
    waitingTasks += unassigned;
  }

  ResourceVector longRunning() {
    return longRunning;
  }

  ResourceVector running() {
    return running;
  }

  ResourceVector waiting() {
    return waiting;
  }

  int waitingTasks() {
    return waitingTasks;
  }

  /** Returns the demand of all tasks other than long-running ones. */
  ResourceVector batch() {
    return running.plus(waiting);
  }

  ResourceVector total() {
    return longRunning.plus(running).plus(waiting);
  }
}
