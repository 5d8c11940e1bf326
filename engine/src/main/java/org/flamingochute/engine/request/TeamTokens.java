package org.flamingochute.engine.request;

import org.flamingochute.decision.identity.TeamId;

/** The cap tokens of this entry, as used by requests. All methods are thread-safe. */
public interface TeamTokens {

  /** Acquires a token of the team if one is free. */
  boolean tryAcquire(TeamId team);

  /** Releases a token whose work has ended. */
  void release(TeamId team);

  /** Returns the number of free tokens of the team. */
  int free(TeamId team);

  /** Requests tokens from peers, since requests of the team wait for them. */
  void requestTokens(TeamId team);
}
