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
import org.flamingochute.schema.scheduling.JobStatus;
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
  private final Map<JobId, StoredJob> jobs = new HashMap<>();
  private final Map<QueueId, Integer> queuedCounts = new HashMap<>();

  /** Applies the record of a submitted job. */
  public StoredJob define(JobId id, QueuedJob job) {
    StoredJob storedJob = findOrAddJob(id);
    if (storedJob.definition().isEmpty()) {
      storedJob.define(job);
      updateQueuedCount(storedJob, 1);
    }
    return storedJob;
  }

  /** Applies the record of a caller's cancellation. */
  public StoredJob cancel(JobId id) {
    StoredJob storedJob = findOrAddJob(id);
    updateQueuedCount(storedJob, -1);
    storedJob.cancel();
    updateQueuedCount(storedJob, 1);
    return storedJob;
  }

  /** Applies a progress record of the scheduler. */
  public StoredJob updateProgress(JobId id, JobProgress progress) {
    StoredJob storedJob = findOrAddJob(id);
    updateQueuedCount(storedJob, -1);
    storedJob.updateProgress(progress);
    updateQueuedCount(storedJob, 1);
    return storedJob;
  }

  /** Applies a status record of the scheduler. */
  public StoredJob updateStatus(JobId id, JobStatus status) {
    StoredJob storedJob = findOrAddJob(id);
    updateQueuedCount(storedJob, -1);
    storedJob.updateStatus(status);
    updateQueuedCount(storedJob, 1);
    return storedJob;
  }

  /** Deletes what is known of a job whose status was deleted, unless its definition is known. */
  public void deleteWithoutDefinition(JobId id) {
    boolean isDefined = find(id).flatMap(StoredJob::definition).isPresent();
    if (!isDefined) {
      delete(id);
    }
  }

  /** Notes that the newest progress record of a job cannot be read; a readable one ends this. */
  public void setProgressUnreadable(JobId id) {
    StoredJob storedJob = findOrAddJob(id);
    updateQueuedCount(storedJob, -1);
    storedJob.setProgressUnreadable();
    updateQueuedCount(storedJob, 1);
  }

  /** Deletes a job. */
  public void delete(JobId id) {
    StoredJob storedJob = jobs.remove(id);
    if (storedJob != null) {
      updateQueuedCount(storedJob, -1);
    }
  }

  /** Returns a job, if it is in the store. */
  public Optional<StoredJob> find(JobId id) {
    return Optional.ofNullable(jobs.get(id));
  }

  /** Returns the number of a queue's jobs without repetitions in the phase {@code QUEUED}. */
  public int queuedCount(QueueId queue) {
    return queuedCounts.getOrDefault(queue, 0);
  }

  /** Returns all jobs. */
  public Collection<StoredJob> jobs() {
    return Collections.unmodifiableCollection(jobs.values());
  }

  /** Returns all jobs, sorted by their time of acceptance. */
  public List<StoredJob> jobsByAcceptance() {
    List<StoredJob> sorted = new ArrayList<>(jobs.values());
    sorted.sort(
        Comparator.comparingLong(
            job -> job.definition().map(QueuedJob::getAcceptedMilliseconds).orElse(0L)));
    return sorted;
  }

  private StoredJob findOrAddJob(JobId id) {
    return jobs.computeIfAbsent(id, StoredJob::new);
  }

  private void updateQueuedCount(StoredJob storedJob, int change) {
    if (storedJob.definition().isEmpty() || storedJob.phase() != JobPhase.QUEUED) {
      return;
    }
    QueuedJob job = storedJob.definition().get();
    if (job.getRepetitions() == 0) {
      queuedCounts.merge(new QueueId(job.getQueue()), change, Integer::sum);
    }
  }
}
