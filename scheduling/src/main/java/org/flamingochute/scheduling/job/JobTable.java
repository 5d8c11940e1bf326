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
 * All jobs in the store, built from its records.
 *
 * <p>Each record is the newest value of its key, and each kind of record has a key of its own, so
 * the result depends neither on the order in which records of different kinds are applied nor on
 * how often a record is applied. The definition of a job is the exception: the first one counts,
 * since a caller may submit the same job again. Not thread-safe; used by one thread.
 */
public final class JobTable {
  private final Map<JobId, JobEntry> entries = new HashMap<>();
  private final Map<QueueId, Integer> queuedCounts = new HashMap<>();

  /** Applies the record of a submitted job. */
  public JobEntry define(JobId id, QueuedJob job) {
    JobEntry entry = findOrAddEntry(id);
    if (entry.definition().isEmpty()) {
      entry.define(job);
      updateQueuedCount(entry, 1);
    }
    return entry;
  }

  /** Applies the record of a caller's cancellation. */
  public JobEntry cancel(JobId id) {
    JobEntry entry = findOrAddEntry(id);
    updateQueuedCount(entry, -1);
    entry.cancel();
    updateQueuedCount(entry, 1);
    return entry;
  }

  /** Applies a progress record of the scheduler. */
  public JobEntry updateProgress(JobId id, JobProgress progress) {
    JobEntry entry = findOrAddEntry(id);
    updateQueuedCount(entry, -1);
    entry.updateProgress(progress);
    updateQueuedCount(entry, 1);
    return entry;
  }

  /** Deletes a job. */
  public void delete(JobId id) {
    JobEntry entry = entries.remove(id);
    if (entry != null) {
      updateQueuedCount(entry, -1);
    }
  }

  /** Returns a job's entry. */
  public Optional<JobEntry> find(JobId id) {
    return Optional.ofNullable(entries.get(id));
  }

  /** Returns the number of a queue's jobs without repetitions in the phase {@code QUEUED}. */
  public int queuedCount(QueueId queue) {
    return queuedCounts.getOrDefault(queue, 0);
  }

  /** Returns the entries of all jobs. */
  public Collection<JobEntry> entries() {
    return Collections.unmodifiableCollection(entries.values());
  }

  /** Returns the entries of all jobs, sorted by their time of acceptance. */
  public List<JobEntry> entriesByAcceptance() {
    List<JobEntry> sorted = new ArrayList<>(entries.values());
    sorted.sort(
        Comparator.comparingLong(
            entry -> entry.definition().map(QueuedJob::getAcceptedMilliseconds).orElse(0L)));
    return sorted;
  }

  private JobEntry findOrAddEntry(JobId id) {
    return entries.computeIfAbsent(id, JobEntry::new);
  }

  private void updateQueuedCount(JobEntry entry, int change) {
    if (entry.definition().isEmpty() || entry.phase() != JobPhase.QUEUED) {
      return;
    }
    QueuedJob job = entry.definition().get();
    if (job.getRepetitions() == 0) {
      queuedCounts.merge(new QueueId(job.getQueue()), change, Integer::sum);
    }
  }
}
