package org.flamingochute.experiment.request;

import org.flamingochute.decision.identity.TeamId;

/**
 * The requests of one team.
 *
 * @param team the team
 * @param share its share
 * @param requestsPerSecond its mean rate while it is active
 * @param activeMilliseconds time for which it asks; 0 when it asks all the time
 * @param quietMilliseconds time for which it does not ask after that
 * @param entries number of entries that its callers reach
 */
public record TeamLoad(
    TeamId team,
    int share,
    double requestsPerSecond,
    double activeMilliseconds,
    double quietMilliseconds,
    int entries) {

  /** Tells whether the team asks at a time. */
  boolean isActive(double milliseconds) {
    if (activeMilliseconds <= 0) {
      return true;
    }
    return milliseconds % (activeMilliseconds + quietMilliseconds) < activeMilliseconds;
  }
}
