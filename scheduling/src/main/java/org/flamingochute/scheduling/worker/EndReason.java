package org.flamingochute.scheduling.worker;

/** How a run of a task ended. */
public enum EndReason {
  /** Its work is done. */
  DONE,
  /** It failed, by its own fault or by the worker's. */
  FAILED,
  /** It was told to stop. */
  STOPPED,
  /** The lease expired. */
  LAPSED,
  /** Another member of its gang ended. */
  GANG_BROKEN,
  /** The other members of its gang did not come in time. */
  GANG_INCOMPLETE
}
