package org.flamingochute.engine.job;

import java.util.OptionalLong;
import org.flamingochute.decision.identity.TeamId;

/** The cap tokens, as used by job attempts. */
public interface JobTokens {

  /**
   * Debits a token for an attempt record.
   *
   * @return the escrow epoch of the token, or empty if none is free
   */
  OptionalLong debitForAttempt(TeamId team);

  /**
   * Credits the token of an attempt whose record was not appended and never will be. The agreed
   * state determines when the tokens of all other attempts are credited.
   */
  void creditUnappendedAttempt(TeamId team, long epoch);

  /** Returns the number of free tokens of the team. */
  int free(TeamId team);

  /** Requests tokens from peers, since jobs of the team wait for them. */
  void requestTokens(TeamId team);
}
