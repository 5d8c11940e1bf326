package org.flamingochute.decision.admission;

/** The order in which the requests of one team leave the queue. */
public sealed interface WithinTeamOrder {

  /** The request with the earliest deadline comes first. */
  record EarliestDeadline() implements WithinTeamOrder {}

  /**
   * The request with the earliest deadline comes first, unless the team's oldest request has waited
   * longer than the threshold; then the newest request comes first. So if the queue is too long for
   * all requests to meet their deadlines, some are answered early rather than all of them at the
   * last moment.
   *
   * @param thresholdMilliseconds waiting time of the oldest request above which the team counts as
   *     overloaded, in milliseconds
   */
  record NewestUnderOverload(long thresholdMilliseconds) implements WithinTeamOrder {}
}
