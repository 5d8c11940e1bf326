package org.flamingochute.decision.admission;

/**
 * Limits of a queue.
 *
 * @param maximumWaiting maximum number of waiting requests
 * @param maximumWaitingPerTeam maximum number of waiting requests of one team
 */
public record QueueBounds(int maximumWaiting, int maximumWaitingPerTeam) {

  /** Checks that both limits are positive. */
  public QueueBounds {
    if (maximumWaiting < 1) {
      throw new IllegalArgumentException("maximumWaiting must be positive: " + maximumWaiting);
    }
    if (maximumWaitingPerTeam < 1) {
      throw new IllegalArgumentException(
          "maximumWaitingPerTeam must be positive: " + maximumWaitingPerTeam);
    }
  }
}
