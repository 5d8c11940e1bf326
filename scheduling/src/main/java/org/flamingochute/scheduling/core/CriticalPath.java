package org.flamingochute.scheduling.core;

import org.flamingochute.schema.scheduling.QueuedStep;

/**
 * Expected durations of the steps of an occurrence, and the length of its longest path.
 *
 * <p>Many jobs are ordered in each pass of the scheduler, so lengths are only computed again after
 * a step was done or the expected durations changed.
 */
final class CriticalPath {
  private final Job job;
  private final Occurrence occurrence;
  private final long[] expectedMilliseconds;
  private final long[] endMilliseconds;
  private long fullMilliseconds;
  private long remainingMilliseconds;
  private long durationsVersion;
  private boolean durationsKnown;
  private boolean remainingKnown;

  CriticalPath(Job job, Occurrence occurrence) {
    this.job = job;
    this.occurrence = occurrence;
    expectedMilliseconds = new long[job.definition.getStepsCount()];
    endMilliseconds = new long[job.definition.getStepsCount()];
  }

  /** Notes that the set of steps that are done has changed. */
  void onStepsChanged() {
    remainingKnown = false;
  }

  /** Returns the expected duration of one task of a step. */
  long expectedMilliseconds(int step) {
    updateDurations();
    return expectedMilliseconds[step];
  }

  /** Returns the length of the longest path of all steps. */
  long fullMilliseconds() {
    updateDurations();
    return fullMilliseconds;
  }

  /** Returns the length of the longest path of the steps that are not done. */
  long remainingMilliseconds() {
    updateDurations();
    if (!remainingKnown) {
      remainingMilliseconds = longestPath(false);
      remainingKnown = true;
    }
    return remainingMilliseconds;
  }

  private void updateDurations() {
    long newestVersion = job.durations.version();
    if (durationsKnown && durationsVersion == newestVersion) {
      return;
    }
    for (int step = 0; step < expectedMilliseconds.length; step++) {
      expectedMilliseconds[step] =
          job.durations.expectedMilliseconds(
              job.definition.getSteps(step), job.definition.getQueue());
    }
    durationsVersion = newestVersion;
    durationsKnown = true;
    remainingKnown = false;
    fullMilliseconds = longestPath(true);
  }

  /** Relies on steps depending only on steps with lower numbers. */
  private long longestPath(boolean includeDone) {
    long longest = 0;
    for (int step = 0; step < endMilliseconds.length; step++) {
      QueuedStep definition = job.definition.getSteps(step);
      long beginMilliseconds = 0;
      for (int i = 0; i < definition.getDependenciesCount(); i++) {
        beginMilliseconds =
            Math.max(beginMilliseconds, endMilliseconds[definition.getDependencies(i)]);
      }
      boolean isCounted = includeDone || !occurrence.isStepDone(step);
      endMilliseconds[step] = beginMilliseconds + (isCounted ? expectedMilliseconds[step] : 0);
      longest = Math.max(longest, endMilliseconds[step]);
    }
    return longest;
  }
}
