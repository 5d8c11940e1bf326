package org.flamingochute.scheduling.core;

/** How a worker answered an order to start. */
public enum StartOutcome {
  /** It runs the task. */
  STARTED,
  /** It knows a higher fencing token, so another entry schedules. */
  FENCED,
  /** It has seen this run or a later one end. */
  SUPERSEDED,
  /** The order came after its deadline. */
  EXPIRED,
  /** It has no room. */
  NO_ROOM,
  /** It does not accept the ticket of the placement advice. */
  TICKET_REFUSED,
  /** It is not well or not there, and has done nothing. */
  NOT_RUN,
  /** The order is malformed. */
  MALFORMED,
  /** Another incarnation answers at the address. */
  GONE,
  /** No answer came. */
  UNKNOWN
}
