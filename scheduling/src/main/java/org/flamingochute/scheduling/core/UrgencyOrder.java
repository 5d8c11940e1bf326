package org.flamingochute.scheduling.core;

import java.util.Comparator;
import java.util.List;

/**
 * Sorts the jobs of a pool in the order in which they get capacity.
 *
 * <p>The goal is that as many jobs as possible end within their objectives. Jobs that can still do
 * so come first, the most urgent one at the front. Jobs that can no longer do so follow, the most
 * recent first, since a late job loses nothing more by waiting. Earliest deadline first alone
 * breaks down under overload: it spends capacity on jobs that are about to be late, and then all
 * jobs are late.
 */
final class UrgencyOrder {
  private static final Comparator<Job> BY_LATEST_START =
      Comparator.comparingLong(job -> job.latestStartMilliseconds);

  /** Sorts the jobs, the one that gets capacity first at the front. */
  void sortByUrgency(List<Job> jobs, long wallClockMilliseconds) {
    for (Job job : jobs) {
      job.latestStartMilliseconds = latestStartMilliseconds(job);
    }
    jobs.sort(
        Comparator.comparing((Job job) -> !job.longRunning)
            .thenComparingInt(job -> job.policy.getPriority())
            .thenComparing((Job job) -> job.overTeamRate)
            .thenComparing(job -> job.latestStartMilliseconds < wallClockMilliseconds)
            .thenComparing(BY_LATEST_START));
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
