package org.flamingochute.scheduling.job;

/** How far a job is, as callers see it. */
public enum JobPhase {
  /** It is stored and no task has begun. */
  QUEUED,
  /** A task has begun. */
  RUNNING,
  /** Every task is done. */
  COMPLETED,
  /** A task failed as often as its queue allows. */
  FAILED,
  /** A caller withdrew it. */
  CANCELLED
}
