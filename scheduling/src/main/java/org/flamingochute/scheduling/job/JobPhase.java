package org.flamingochute.scheduling.job;

/** The phase of a job that is reported to callers. */
public enum JobPhase {
  /** The job is stored and none of its tasks has been assigned to a worker. */
  QUEUED,
  /** At least one task has been assigned to a worker, now or earlier. */
  RUNNING,
  /** All tasks are done. */
  COMPLETED,
  /** A task, or the members of a gang together, failed as often as the queue's policy allows. */
  FAILED,
  /** A caller has cancelled the job. */
  CANCELLED
}
