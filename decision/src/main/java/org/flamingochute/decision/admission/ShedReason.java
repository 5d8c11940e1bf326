package org.flamingochute.decision.admission;

/** Why a request was refused without having been dispatched. */
public enum ShedReason {
  /** The queue is full, and no team has more requests waiting for its share. */
  QUEUE_FULL,
  /** The team has reached its own limit of waiting requests. */
  TEAM_QUEUE_FULL,
  /** The time that is left is shorter than the estimated service time. */
  DEADLINE_UNREACHABLE
}
