package org.flamingochute.decision.placement;

import org.flamingochute.decision.identity.TeamId;

/**
 * What a team may use.
 *
 * @param team the team
 * @param share its weight when the pool is full
 * @param startable how many more jobs it may start now under its cap
 */
public record TeamPart(TeamId team, int share, int startable) {}
