package org.flamingochute.decision.placement;

import org.flamingochute.decision.identity.TeamId;

/**
 * The weight of a team and the number of jobs that it may start.
 *
 * @param team the team
 * @param share its weight in the division of the pool
 * @param startable number of further jobs that it may start now within its cap
 */
public record TeamQuota(TeamId team, int share, int startable) {}
