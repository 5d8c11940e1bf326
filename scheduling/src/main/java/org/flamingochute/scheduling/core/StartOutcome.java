package org.flamingochute.scheduling.core;

/** A worker's response to a start command. */
public enum StartOutcome {
  /** The worker runs the task. */
  STARTED,
  /**
   * The worker has started again and runs the task, under a lease that is longer than granted. No
   * start should reach a later incarnation than the one that it was prepared for.
   */
  STARTED_BY_LATER_INCARNATION,
  /** The worker has received a higher fencing token, so another node leads. */
  FENCED,
  /** This run or a later one has already ended on the worker. */
  SUPERSEDED,
  /** The command arrived after its deadline. */
  EXPIRED,
  /** The worker has no free capacity for the task. */
  NO_ROOM,
  /** The worker does not accept the ticket of the placement advice. */
  TICKET_REFUSED,
  /** The worker refused the call for now or was not reached; it has not started the task. */
  NOT_RUN,
  /** The command is malformed. */
  MALFORMED,
  /** A worker with another id answered at the worker's address. */
  GONE,
  /** No response, or an unexpected one; the worker may have started the task. */
  UNKNOWN
}
