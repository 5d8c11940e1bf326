package org.flamingochute.scheduling.worker;

/** Why a run of a task ended. */
public enum EndReason {
  /** The task is done. */
  DONE,
  /** The run failed, because of the task or of the worker. */
  FAILED,
  /** The run was stopped by a command. */
  STOPPED,
  /** The worker's lease expired. */
  LAPSED,
  /** Another member of its gang ended. */
  GANG_BROKEN,
  /** The other members of its gang did not start in time. */
  GANG_INCOMPLETE
}
