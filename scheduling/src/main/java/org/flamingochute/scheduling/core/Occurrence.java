package org.flamingochute.scheduling.core;

import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.schema.scheduling.QueuedStep;

/** One repetition of a job: all tasks of all steps. */
final class Occurrence {
  final int number;

  /** Wall-clock time before which no task starts. */
  final long dueMilliseconds;

  private final Job job;
  private final Task[][] tasks;
  private final int[] openTaskCounts;

  Occurrence(Job job, int number, long dueMilliseconds) {
    this.job = job;
    this.number = number;
    this.dueMilliseconds = dueMilliseconds;
    int stepCount = job.definition.getStepsCount();
    tasks = new Task[stepCount][];
    openTaskCounts = new int[stepCount];
    for (int step = 0; step < stepCount; step++) {
      QueuedStep definition = job.definition.getSteps(step);
      tasks[step] = new Task[definition.getCount()];
      openTaskCounts[step] = definition.getCount();
      for (int index = 0; index < definition.getCount(); index++) {
        TaskId id = new TaskId(job.id, number, step, index);
        tasks[step][index] = new Task(id, job, this, definition);
      }
    }
  }

  int stepCount() {
    return tasks.length;
  }

  Task[] tasksOf(int step) {
    return tasks[step];
  }

  Task task(int step, int index) {
    return tasks[step][index];
  }

  boolean hasTask(int step, int index) {
    return step < tasks.length && index < tasks[step].length;
  }

  void markTaskDone(int step) {
    openTaskCounts[step]--;
  }

  boolean isStepDone(int step) {
    return openTaskCounts[step] == 0;
  }

  boolean isDone() {
    for (int count : openTaskCounts) {
      if (count > 0) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether all dependencies of the step are done. */
  boolean isReady(int step) {
    for (int dependency : job.definition.getSteps(step).getDependenciesList()) {
      if (!isStepDone(dependency)) {
        return false;
      }
    }
    return true;
  }

  /** Returns the estimated length of the critical path of the steps that are not done. */
  long remainingCriticalPathMilliseconds() {
    return criticalPath(false);
  }

  /** Returns the estimated length of the critical path of all steps. */
  long criticalPathMilliseconds() {
    return criticalPath(true);
  }

  /** Relies on steps depending only on steps with lower numbers. */
  private long criticalPath(boolean includeDone) {
    long[] endMilliseconds = new long[tasks.length];
    long longest = 0;
    for (int step = 0; step < tasks.length; step++) {
      QueuedStep definition = job.definition.getSteps(step);
      long beginMilliseconds = 0;
      for (int dependency : definition.getDependenciesList()) {
        beginMilliseconds = Math.max(beginMilliseconds, endMilliseconds[dependency]);
      }
      boolean isCounted = includeDone || !isStepDone(step);
      endMilliseconds[step] =
          beginMilliseconds + (isCounted ? definition.getEstimateMilliseconds() : 0);
      longest = Math.max(longest, endMilliseconds[step]);
    }
    return longest;
  }
}
