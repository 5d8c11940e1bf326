package org.flamingochute.scheduling.core;

import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.schema.scheduling.QueuedStep;

/** What the open jobs of one pool ask of it now. */
final class PoolLoad {
  private ResourceVector lasting = ResourceVector.ZERO;
  private ResourceVector running = ResourceVector.ZERO;
  private ResourceVector waiting = ResourceVector.ZERO;
  private int waitingTasks;

  /** Adds the tasks of a job that run or could run now. */
  void add(Job job, long timeOfDay) {
    for (Occurrence occurrence : job.occurrences) {
      if (!job.isDue(occurrence.dueMilliseconds, timeOfDay) || occurrence.isDone()) {
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
    QueuedStep step = tasks[0].step;
    ResourceVector room = Worker.roomOf(step);
    for (Task task : tasks) {
      if (task.isDone()) {
        continue;
      }
      if (step.getLongRunning()) {
        lasting = lasting.plus(room);
      } else if (task.isAssigned()) {
        running = running.plus(room);
      } else {
        waiting = waiting.plus(room);
        waitingTasks++;
      }
    }
  }

  ResourceVector lasting() {
    return lasting;
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

  /** Returns what the tasks ask for that do not last. */
  ResourceVector batch() {
    return running.plus(waiting);
  }

  ResourceVector total() {
    return lasting.plus(running).plus(waiting);
  }
}
