package org.flamingochute.scheduling.job;

import java.util.Optional;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.QueuedJob;

/** What the store says of one job. Parts may arrive in any order. */
public final class JobEntry {
  private final JobId id;
  private Optional<QueuedJob> definition = Optional.empty();
  private Optional<JobProgress> progress = Optional.empty();
  private boolean cancelled;

  JobEntry(JobId id) {
    this.id = id;
  }

  /** Returns the job's id. */
  public JobId id() {
    return id;
  }

  /** Returns the job as it was handed in, or nothing while that record has not been read. */
  public Optional<QueuedJob> definition() {
    return definition;
  }

  /** Returns the newest progress, or nothing before the first start. */
  public Optional<JobProgress> progress() {
    return progress;
  }

  /** Tells whether a caller withdrew the job. */
  public boolean isCancelled() {
    return cancelled;
  }

  void define(QueuedJob job) {
    definition = Optional.of(job);
  }

  void advance(JobProgress newest) {
    progress = Optional.of(newest);
  }

  void cancel() {
    cancelled = true;
  }

  /** Returns how far the job is, as callers see it. */
  public JobPhase phase() {
    JobProgress.Phase recorded = progress.map(JobProgress::getPhase).orElse(JobProgress.Phase.OPEN);
    return switch (recorded) {
      case COMPLETED -> JobPhase.COMPLETED;
      case FAILED -> JobPhase.FAILED;
      case CANCELLED -> JobPhase.CANCELLED;
      case OPEN, UNRECOGNIZED -> openPhase();
    };
  }

  private JobPhase openPhase() {
    if (cancelled) {
      return JobPhase.CANCELLED;
    }
    return hasBegun() ? JobPhase.RUNNING : JobPhase.QUEUED;
  }

  private boolean hasBegun() {
    return progress.isPresent() && progress.get().getTasksCount() > 0;
  }
}
