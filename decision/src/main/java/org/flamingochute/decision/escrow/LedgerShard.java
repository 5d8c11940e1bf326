package org.flamingochute.decision.escrow;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.flamingochute.decision.identity.TeamId;

/** The tokens of a subset of the teams, guarded by one lock. */
final class LedgerShard {

  private final Map<TeamId, TokenAccount> accounts = new HashMap<>();

  /** Runs an action on a team's tokens; a team seen for the first time has none. */
  synchronized <R> R compute(TeamId team, Function<TokenAccount, R> action) {
    return action.apply(accounts.computeIfAbsent(team, absent -> new TokenAccount()));
  }

  /** Runs an action without a result on a team's tokens. */
  synchronized void update(TeamId team, Consumer<TokenAccount> action) {
    action.accept(accounts.computeIfAbsent(team, absent -> new TokenAccount()));
  }

  /** Runs an action on the tokens of each team. */
  synchronized void forEach(BiConsumer<TeamId, TokenAccount> action) {
    accounts.forEach(action);
  }
}
