package org.flamingochute.decision.escrow;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.flamingochute.decision.identity.TeamId;

/** The tokens of some of the teams, under one lock. */
final class LedgerShard {

  private final Map<TeamId, HeldTokens> teams = new HashMap<>();

  /** Runs an action on a team's tokens; a team that is not known yet holds none. */
  synchronized <R> R compute(TeamId team, Function<HeldTokens, R> action) {
    return action.apply(teams.computeIfAbsent(team, absent -> new HeldTokens()));
  }

  /** Runs an action on a team's tokens. */
  synchronized void update(TeamId team, Consumer<HeldTokens> action) {
    action.accept(teams.computeIfAbsent(team, absent -> new HeldTokens()));
  }

  /** Runs an action on the tokens of each team. */
  synchronized void forEach(BiConsumer<TeamId, HeldTokens> action) {
    teams.forEach(action);
  }
}
