package org.flamingochute.decision.admission;

import org.flamingochute.decision.identity.TeamId;

/** Provides the weight of each team. */
@FunctionalInterface
public interface ShareSource {

  /** Returns the team's weight; a value below 1 counts as 1. */
  int share(TeamId team);
}
