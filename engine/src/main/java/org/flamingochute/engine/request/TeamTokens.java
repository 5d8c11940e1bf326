package org.flamingochute.engine.request;

import org.flamingochute.decision.identity.TeamId;

/** The tokens of caps that this entry holds. All methods may be called from any thread. */
public interface TeamTokens {

  /** Takes a token of the team when one is free. */
  boolean tryTake(TeamId team);

  /** Gives back a token whose work is over. */
  void giveBack(TeamId team);

  /** Returns the number of free tokens of the team. */
  int free(TeamId team);

  /** Notes that requests of the team wait for tokens. */
  void wanted(TeamId team);
}
