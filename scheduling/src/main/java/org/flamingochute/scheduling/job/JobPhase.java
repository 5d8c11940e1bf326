package org.flamingochute.scheduling.job;

/** The phase of a job that is reported to callers. */
public enum JobPhase {
  /** The job is stored and none of its tasks has started. */
  QUEUED,
  /** At least one task has started. */
  RUNNING,
  /** All tasks are done. */
  COMPLETED,
  /** A task has failed as often as the queue's policy allows. */
  FAILED,
  /** A caller has cancelled the job. */
  CANCELLED
}
