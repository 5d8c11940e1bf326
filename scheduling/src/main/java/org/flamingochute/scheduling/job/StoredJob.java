package org.flamingochute.scheduling.job;

import java.util.Optional;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.JobStatus;
import org.flamingochute.schema.scheduling.QueuedJob;

/** The state of one job in the store. Its records may be applied in any order. */
public final class StoredJob {
  private final JobId id;
  private Optional<QueuedJob> definition = Optional.empty();
  private Optional<JobProgress> progress = Optional.empty();
  private JobStatus status = JobStatus.getDefaultInstance();
  private boolean progressUnreadable;
  private boolean cancelled;

  StoredJob(JobId id) {
    this.id = id;
  }

  /** Returns the job's id. */
  public JobId id() {
    return id;
  }

  /** Returns the job as it was submitted, or empty while that record has not been read. */
  public Optional<QueuedJob> definition() {
    return definition;
  }

  /** Returns the newest progress, or empty while none has been recorded. */
  public Optional<JobProgress> progress() {
    return progress.map(CompactProgress::expand);
  }

  /** Returns whether the newest record of the job's progress cannot be read. */
  public boolean isProgressUnreadable() {
    return progressUnreadable;
  }

  /** Returns whether a caller has cancelled the job. */
  public boolean isCancelled() {
    return cancelled;
  }

  void define(QueuedJob job) {
    definition = Optional.of(job);
  }

  void updateProgress(JobProgress newest) {
    progress = Optional.of(newest);
    progressUnreadable = false;
  }

  void setProgressUnreadable() {
    progressUnreadable = true;
  }

  /** Applies a status; a status that is behind the known one changes nothing. */
  void updateStatus(JobStatus newest) {
    boolean ended = status.getPhase() != JobProgress.Phase.OPEN;
    if (!ended) {
      status = newest.toBuilder().setStarted(newest.getStarted() || status.getStarted()).build();
    }
  }

  void cancel() {
    cancelled = true;
  }

  /**
   * Returns the phase of the job that is reported to callers: by its progress or its status,
   * whichever was read further.
   */
  public JobPhase phase() {
    JobProgress.Phase recorded = progress.map(JobProgress::getPhase).orElse(JobProgress.Phase.OPEN);
    if (recorded == JobProgress.Phase.OPEN) {
      recorded = status.getPhase();
    }
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
    return hasStarted() ? JobPhase.RUNNING : JobPhase.QUEUED;
  }

  private boolean hasStarted() {
    return status.getStarted()
        || progressUnreadable
        || progress.isPresent() && CompactProgress.hasTasks(progress.get());
  }
}
