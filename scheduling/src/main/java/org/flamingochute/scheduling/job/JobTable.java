package org.flamingochute.scheduling.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.QueueId;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.QueuedJob;

/**
 * All jobs of the store, built from its records.
 *
 * <p>Each record is the newest value of its key, and each kind of record has a key of its own, so
 * the result does not depend on the order in which records of different kinds are applied, nor on
 * how often one is applied. The definition of a job is the exception: the first one counts, since a
 * caller may hand the same job in again. Used by one thread.
 */
public final class JobTable {
  private final Map<JobId, JobEntry> entries = new HashMap<>();
  private final Map<QueueId, Integer> queuedCounts = new HashMap<>();

  /** Applies the record of a job that was handed in. */
  public JobEntry define(JobId id, QueuedJob job) {
    JobEntry entry = entryOf(id);
    if (entry.definition().isEmpty()) {
      entry.define(job);
      count(entry, 1);
    }
    return entry;
  }

  /** Applies the record of a caller's withdrawal. */
  public JobEntry cancel(JobId id) {
    JobEntry entry = entryOf(id);
    count(entry, -1);
    entry.cancel();
    count(entry, 1);
    return entry;
  }

  /** Applies a record of the scheduler. */
  public JobEntry advance(JobId id, JobProgress progress) {
    JobEntry entry = entryOf(id);
    count(entry, -1);
    entry.advance(progress);
    count(entry, 1);
    return entry;
  }

  /** Forgets a job. */
  public void drop(JobId id) {
    JobEntry entry = entries.remove(id);
    if (entry != null) {
      count(entry, -1);
    }
  }

  /** Returns what is known of a job. */
  public Optional<JobEntry> find(JobId id) {
    return Optional.ofNullable(entries.get(id));
  }

  /** Returns the jobs of a queue that run once and have not begun. */
  public int queuedCount(QueueId queue) {
    return queuedCounts.getOrDefault(queue, 0);
  }

  /** Returns everything that is known. */
  public Collection<JobEntry> entries() {
    return Collections.unmodifiableCollection(entries.values());
  }

  /** Returns everything that is known, in the order of acceptance. */
  public List<JobEntry> entriesByAcceptance() {
    List<JobEntry> sorted = new ArrayList<>(entries.values());
    sorted.sort(
        Comparator.comparingLong(
            entry -> entry.definition().map(QueuedJob::getAcceptedMilliseconds).orElse(0L)));
    return sorted;
  }

  private JobEntry entryOf(JobId id) {
    return entries.computeIfAbsent(id, JobEntry::new);
  }

  private void count(JobEntry entry, int change) {
    if (entry.definition().isEmpty() || entry.phase() != JobPhase.QUEUED) {
      return;
    }
    QueuedJob job = entry.definition().get();
    if (job.getRepetitions() == 0) {
      queuedCounts.merge(new QueueId(job.getQueue()), change, Integer::sum);
    }
  }
}
