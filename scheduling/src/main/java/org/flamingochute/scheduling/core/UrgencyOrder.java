package org.flamingochute.scheduling.core;

import java.util.Comparator;
import java.util.List;

/**
 * The order in which the jobs of a pool get room.
 *
 * <p>A job is worth most when it ends within its objective. Jobs that can still do so come first,
 * the most urgent one at the front; those whose time has run out follow, the freshest first, since
 * a job that is late already loses nothing more by waiting. Earliest deadline first alone breaks
 * down under overload: it spends the room on jobs that are about to be late, and then all are late.
 */
final class UrgencyOrder {
  private static final Comparator<Job> BY_LATEST_START =
      Comparator.comparingLong(job -> job.latestStartMilliseconds);

  /** Sorts the jobs by their claim on room, the first claim first. */
  void sort(List<Job> jobs, long timeOfDay) {
    for (Job job : jobs) {
      job.latestStartMilliseconds = latestStart(job);
    }
    jobs.sort(
        Comparator.comparing((Job job) -> !job.longRunning)
            .thenComparingInt(job -> job.policy.getPriority())
            .thenComparing((Job job) -> job.excess)
            .thenComparing(job -> job.latestStartMilliseconds < timeOfDay)
            .thenComparing(BY_LATEST_START));
  }

  /** Returns the time of day at which the rest of the job must start to meet the objective. */
  static long latestStart(Job job) {
    if (job.occurrences.isEmpty()) {
      return Long.MAX_VALUE;
    }
    for (Occurrence occurrence : job.occurrences) {
      if (!occurrence.isDone()) {
        return occurrence.dueMilliseconds
            + objectiveMilliseconds(job, occurrence)
            - occurrence.remainingChainMilliseconds();
      }
    }
    return Long.MAX_VALUE;
  }

  /** Returns the time that an occurrence may take from its due time, in milliseconds. */
  static long objectiveMilliseconds(Job job, Occurrence occurrence) {
    return Math.round(job.policy.getSlackFactor() * occurrence.chainMilliseconds())
        + job.policy.getObjectiveMilliseconds();
  }
}
