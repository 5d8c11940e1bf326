package org.flamingochute.decision.admission;

import org.flamingochute.decision.identity.TeamId;

/** Provides the share of each team, which is its weight in the fair order. */
@FunctionalInterface
public interface ShareSource {

  /** Returns the team's share; a value below 1 counts as 1. */
  int share(TeamId team);
}
