package org.flamingochute.decision.admission;

/** The order in which the requests of one team leave the queue. */
public sealed interface WithinTeamOrder {

  /** The request with the earliest deadline leaves first. */
  record EarliestDeadline() implements WithinTeamOrder {}

  /**
   * The request with the earliest deadline leaves first, but while the team's oldest request has
   * waited longer than the threshold, the newest one does. A queue that is longer than its
   * deadlines allow then answers some requests early rather than all of them at the last moment.
   *
   * @param thresholdMilliseconds wait of the oldest request from which the team counts as
   *     overloaded
   */
  record NewestUnderOverload(long thresholdMilliseconds) implements WithinTeamOrder {}
}
