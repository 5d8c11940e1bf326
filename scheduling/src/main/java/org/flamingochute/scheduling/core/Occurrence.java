package org.flamingochute.scheduling.core;

import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.schema.scheduling.QueuedStep;

/** One repetition of a job: all tasks of all steps. */
final class Occurrence {
  final int number;

  /** Time of day before which no task starts. */
  final long dueMilliseconds;

  private final Job job;
  private final Task[][] tasks;
  private final int[] open;

  Occurrence(Job job, int number, long dueMilliseconds) {
    this.job = job;
    this.number = number;
    this.dueMilliseconds = dueMilliseconds;
    int steps = job.definition.getStepsCount();
    tasks = new Task[steps][];
    open = new int[steps];
    for (int step = 0; step < steps; step++) {
      QueuedStep definition = job.definition.getSteps(step);
      tasks[step] = new Task[definition.getCount()];
      open[step] = definition.getCount();
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

  boolean holds(int step, int index) {
    return step < tasks.length && index < tasks[step].length;
  }

  void taskDone(int step) {
    open[step]--;
  }

  boolean isStepDone(int step) {
    return open[step] == 0;
  }

  boolean isDone() {
    for (int count : open) {
      if (count > 0) {
        return false;
      }
    }
    return true;
  }

  /** Tells whether all steps that the step depends on are done. */
  boolean isReady(int step) {
    for (int dependency : job.definition.getSteps(step).getDependenciesList()) {
      if (!isStepDone(dependency)) {
        return false;
      }
    }
    return true;
  }

  /** Returns the longest chain of steps that are not done, by their estimates, in milliseconds. */
  long remainingChainMilliseconds() {
    return chain(false);
  }

  /** Returns the longest chain of all steps by their estimates, in milliseconds. */
  long chainMilliseconds() {
    return chain(true);
  }

  private long chain(boolean all) {
    long[] ends = new long[tasks.length];
    long longest = 0;
    for (int step = 0; step < tasks.length; step++) {
      QueuedStep definition = job.definition.getSteps(step);
      long begin = 0;
      for (int dependency : definition.getDependenciesList()) {
        begin = Math.max(begin, ends[dependency]);
      }
      boolean counts = all || !isStepDone(step);
      ends[step] = begin + (counts ? definition.getEstimateMilliseconds() : 0);
      longest = Math.max(longest, ends[step]);
    }
    return longest;
  }
}
