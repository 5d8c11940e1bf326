package org.flamingochute.experiment.request;

import org.flamingochute.decision.identity.TeamId;

/**
 * The load of one team.
 *
 * @param team the team
 * @param share the share of the team
 * @param requestsPerSecond the mean request rate while the team is active
 * @param activeMilliseconds length of an active period; 0 if the team is always active
 * @param idleMilliseconds length of the idle period after each active period
 * @param reachableEntries number of entries that the team's callers reach
 */
public record TeamLoad(
    TeamId team,
    int share,
    double requestsPerSecond,
    double activeMilliseconds,
    double idleMilliseconds,
    int reachableEntries) {

  /** Returns whether the team sends requests at the given time. */
  boolean isActive(double milliseconds) {
    if (activeMilliseconds <= 0) {
      return true;
    }
    return milliseconds % (activeMilliseconds + idleMilliseconds) < activeMilliseconds;
  }
}
