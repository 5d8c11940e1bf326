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

/** The jobs that are not over, and the ended ones that callers may still ask about. */
final class JobBook {

  /** An ended job and the time of day at which its records are dropped. */
  record Ended(JobId job, long dropAtMilliseconds) {}

  private final Map<JobId, Job> jobs = new LinkedHashMap<>();
  private final Map<JobId, Boolean> known = new HashMap<>();
  private final Deque<Ended> ended = new ArrayDeque<>();

  void add(Job job) {
    jobs.put(job.id, job);
    known.put(job.id, true);
  }

  boolean isKnown(JobId id) {
    return known.containsKey(id);
  }

  Optional<Job> find(JobId id) {
    return Optional.ofNullable(jobs.get(id));
  }

  Optional<Task> find(TaskId id) {
    Job job = jobs.get(id.job());
    return job == null ? Optional.empty() : job.find(id.occurrence(), id.step(), id.index());
  }

  Collection<Job> all() {
    return jobs.values();
  }

  /** Notes a job that is over and has nothing running. */
  void close(JobId id, long dropAtMilliseconds) {
    jobs.remove(id);
    known.put(id, true);
    ended.add(new Ended(id, dropAtMilliseconds));
  }

  /** Returns the next job whose records are due to be dropped, and forgets it. */
  Optional<JobId> takeDropped(long timeOfDay) {
    Ended first = ended.peek();
    if (first == null || first.dropAtMilliseconds() > timeOfDay) {
      return Optional.empty();
    }
    ended.remove();
    known.remove(first.job());
    return Optional.of(first.job());
  }
}
