package org.flamingochute.scheduling.job;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.flamingochute.decision.identity.JobId;

/**
 * Cancellations of jobs that are not stored, with the time at which each was read last.
 *
 * <p>Such a cancellation cancels a job whose append is still under way when its caller cancels it.
 * Appends are executed at most seconds late, so it is of no use later, and nothing else deletes it:
 * the records of a stored job are deleted after its end, which this job never has. Ages are
 * measured from the read, not from the time in the record, so that a clock that differs or is
 * adjusted deletes none too early; a node that starts measures from its start. Not thread-safe.
 */
public final class UndefinedCancellations {
  /** Steady time of the newest read of each cancellation, the oldest first. */
  private final Map<JobId, Long> readAt = new LinkedHashMap<>();

  /** Notes a cancellation of a job that is not stored. */
  public void add(JobId job, long nowMilliseconds) {
    // Removed first, so that the order remains that of the times.
    readAt.remove(job);
    readAt.put(job, nowMilliseconds);
  }

  /** Forgets a cancellation, since it was deleted or its job is stored. */
  public void remove(JobId job) {
    readAt.remove(job);
  }

  /** Returns the number of cancellations. */
  public int count() {
    return readAt.size();
  }

  /** Returns the jobs that are cancelled and not stored. */
  public Set<JobId> jobs() {
    return new HashSet<>(readAt.keySet());
  }

  /**
   * Returns the jobs whose cancellations were read some time ago, the oldest first.
   *
   * @param ageMilliseconds least time since the newest read
   * @param maximumCount maximum number of returned jobs
   */
  public List<JobId> olderThan(long ageMilliseconds, int maximumCount, long nowMilliseconds) {
    List<JobId> jobs = new ArrayList<>();
    for (Map.Entry<JobId, Long> entry : readAt.entrySet()) {
      boolean isOld = nowMilliseconds - entry.getValue() >= ageMilliseconds;
      if (!isOld || jobs.size() >= maximumCount) {
        break;
      }
      jobs.add(entry.getKey());
    }
    return jobs;
  }
}
