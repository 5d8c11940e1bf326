package org.flamingochute.decision.admission;

/** The reason why a request was shed, that is, not dispatched. */
public enum ShedReason {
  /** The queue is full, and the team has the most waiting requests relative to its share. */
  QUEUE_FULL,
  /** The team has reached its own limit of waiting requests. */
  TEAM_QUEUE_FULL,
  /** The time left until the deadline is shorter than the estimated service time. */
  DEADLINE_UNREACHABLE
}
