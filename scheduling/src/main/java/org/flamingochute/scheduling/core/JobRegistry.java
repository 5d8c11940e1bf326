package org.flamingochute.scheduling.core;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Queue;
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
  private final Queue<EndedJob> endedJobs =
      new PriorityQueue<>(Comparator.comparingLong(EndedJob::deleteAtMilliseconds));

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

  /** Removes and returns the job that is due for deletion first, if one is due. */
  Optional<JobId> pollExpired(long wallClockMilliseconds) {
    EndedJob first = endedJobs.peek();
    if (first == null || first.deleteAtMilliseconds() > wallClockMilliseconds) {
      return Optional.empty();
    }
    endedJobs.remove();
    return Optional.of(first.job());
  }

  /** Forgets a closed job whose definition is deleted. */
  void forget(JobId id) {
    knownIds.remove(id);
  }
}
