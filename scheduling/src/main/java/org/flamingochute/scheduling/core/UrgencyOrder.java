package org.flamingochute.scheduling.core;

import java.util.List;

/**
 * Sorts the jobs of a pool in the order in which capacity is allocated to them.
 *
 * <p>Long-running jobs come first, then jobs with a lower priority number, then jobs within their
 * team's submission rate. Among equals, the goal is that as many jobs as possible end within their
 * objectives: jobs that can still do so come before those that can no longer, since a late job
 * loses nothing more by waiting. In both groups the job with the earliest latest start comes first.
 * Earliest deadline first alone breaks down under overload: it spends capacity on jobs that are
 * about to be late, and then all jobs are late.
 */
final class UrgencyOrder {
  /** Sorts the jobs; capacity is allocated to the first one first. */
  void sortByUrgency(List<Job> jobs, long wallClockMilliseconds) {
    for (Job job : jobs) {
      job.latestStartMilliseconds = latestStartMilliseconds(job);
      job.late = job.latestStartMilliseconds < wallClockMilliseconds;
    }
    jobs.sort(UrgencyOrder::compare);
  }

  private static int compare(Job first, Job second) {
    if (first.longRunning != second.longRunning) {
      return first.longRunning ? -1 : 1;
    }
    int byPriority = Integer.compare(first.policy.getPriority(), second.policy.getPriority());
    if (byPriority != 0) {
      return byPriority;
    }
    if (first.overTeamRate != second.overTeamRate) {
      return first.overTeamRate ? 1 : -1;
    }
    if (first.late != second.late) {
      return first.late ? 1 : -1;
    }
    return Long.compare(first.latestStartMilliseconds, second.latestStartMilliseconds);
  }

  /** Returns the wall-clock time by which the rest of the job must start to meet the objective. */
  static long latestStartMilliseconds(Job job) {
    if (job.occurrences.isEmpty()) {
      return Long.MAX_VALUE;
    }
    for (Occurrence occurrence : job.occurrences) {
      if (!occurrence.isDone()) {
        return occurrence.dueMilliseconds
            + objectiveMilliseconds(job, occurrence)
            - occurrence.remainingCriticalPathMilliseconds();
      }
    }
    return Long.MAX_VALUE;
  }

  /** Returns the time within which an occurrence should end after its due time, in milliseconds. */
  static long objectiveMilliseconds(Job job, Occurrence occurrence) {
    return Math.round(job.policy.getSlackFactor() * occurrence.criticalPathMilliseconds())
        + job.policy.getObjectiveMilliseconds();
  }
}
