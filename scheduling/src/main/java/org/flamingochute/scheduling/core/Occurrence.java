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
  private final FailedGangRuns[] failedGangRuns;
  private final int[] openTaskCounts;
  private final CriticalPath criticalPath;
  private int openStepCount;

  Occurrence(Job job, int number, long dueMilliseconds) {
    this.job = job;
    this.number = number;
    this.dueMilliseconds = dueMilliseconds;
    int stepCount = job.definition.getStepsCount();
    tasks = new Task[stepCount][];
    failedGangRuns = new FailedGangRuns[stepCount];
    openTaskCounts = new int[stepCount];
    for (int step = 0; step < stepCount; step++) {
      QueuedStep definition = job.definition.getSteps(step);
      tasks[step] = new Task[definition.getCount()];
      failedGangRuns[step] = new FailedGangRuns();
      openTaskCounts[step] = definition.getCount();
      for (int index = 0; index < definition.getCount(); index++) {
        TaskId id = new TaskId(job.id, number, step, index);
        tasks[step][index] = new Task(id, job, this, definition);
      }
      openStepCount += definition.getCount() > 0 ? 1 : 0;
    }
    criticalPath = new CriticalPath(job, this);
  }

  int stepCount() {
    return tasks.length;
  }

  Task[] tasksOf(int step) {
    return tasks[step];
  }

  /** Returns the failed runs of a step that is a gang; no runs are noted for other steps. */
  FailedGangRuns failedGangRuns(int step) {
    return failedGangRuns[step];
  }

  Task task(int step, int index) {
    return tasks[step][index];
  }

  boolean hasTask(int step, int index) {
    return step < tasks.length && index < tasks[step].length;
  }

  void markTaskDone(int step) {
    openTaskCounts[step]--;
    if (openTaskCounts[step] == 0) {
      openStepCount--;
      criticalPath.onStepsChanged();
    }
  }

  boolean isStepDone(int step) {
    return openTaskCounts[step] == 0;
  }

  boolean isDone() {
    return openStepCount == 0;
  }

  /** Returns whether all dependencies of the step are done. */
  boolean isReady(int step) {
    QueuedStep definition = job.definition.getSteps(step);
    for (int i = 0; i < definition.getDependenciesCount(); i++) {
      if (!isStepDone(definition.getDependencies(i))) {
        return false;
      }
    }
    return true;
  }

  /** Returns the expected duration of one task of a step. */
  long expectedMilliseconds(int step) {
    return criticalPath.expectedMilliseconds(step);
  }

  /** Returns the expected length of the critical path of the steps that are not done. */
  long remainingCriticalPathMilliseconds() {
    return criticalPath.remainingMilliseconds();
  }

  /** Returns the expected length of the critical path of all steps. */
  long criticalPathMilliseconds() {
    return criticalPath.fullMilliseconds();
  }
}
