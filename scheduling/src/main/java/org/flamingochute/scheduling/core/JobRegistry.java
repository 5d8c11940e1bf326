package org.flamingochute.scheduling.core;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.TaskId;

/**
 * The jobs that are open or still have assigned tasks, and the ids of closed jobs, whose status is
 * still retained for callers.
 */
final class JobRegistry {

  /** A closed job and the wall-clock time from which its records may be deleted. */
  record EndedJob(JobId job, long deleteAtMilliseconds) {}

  private final Map<JobId, Job> jobs = new LinkedHashMap<>();
  private final Map<JobId, Boolean> knownIds = new HashMap<>();
  private final Deque<EndedJob> endedJobs = new ArrayDeque<>();

  void add(Job job) {
    jobs.put(job.id, job);
    knownIds.put(job.id, true);
  }

  boolean isKnown(JobId id) {
    return knownIds.containsKey(id);
  }

  Optional<Job> find(JobId id) {
    return Optional.ofNullable(jobs.get(id));
  }

  Optional<Task> find(TaskId id) {
    Job job = jobs.get(id.job());
    return job == null ? Optional.empty() : job.findTask(id.occurrence(), id.step(), id.index());
  }

  Collection<Job> all() {
    return jobs.values();
  }

  /** Closes a job that has ended and has no assigned tasks. */
  void close(JobId id, long deleteAtMilliseconds) {
    jobs.remove(id);
    knownIds.put(id, true);
    endedJobs.add(new EndedJob(id, deleteAtMilliseconds));
  }

  /**
   * Removes and returns the next job whose records are due for deletion, in the order in which jobs
   * were closed: a job that was closed earlier but is deleted later delays those after it.
   */
  Optional<JobId> pollExpired(long wallClockMilliseconds) {
    EndedJob firstClosed = endedJobs.peek();
    if (firstClosed == null || firstClosed.deleteAtMilliseconds() > wallClockMilliseconds) {
      return Optional.empty();
    }
    endedJobs.remove();
    knownIds.remove(firstClosed.job());
    return Optional.of(firstClosed.job());
  }
}
