package org.flamingochute.engine.job;

import java.util.OptionalLong;
import org.flamingochute.decision.identity.TeamId;

/** The tokens of caps, as job attempts use them. */
public interface JobTokens {

  /**
   * Debits a token for an attempt record.
   *
   * @return the escrow epoch of the token, or nothing when none is free
   */
  OptionalLong debitForAttempt(TeamId team);

  /**
   * Credits the token of an attempt whose record was never appended and never will be. What becomes
   * of any other is learnt from the fold.
   */
  void creditRefusedAttempt(TeamId team, long epoch);

  /** Returns the number of free tokens of the team. */
  int free(TeamId team);

  /** Notes that jobs of the team wait for tokens. */
  void requestTokens(TeamId team);
}
