package org.flamingochute.scheduling.fleet;

import java.util.Set;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.decision.placement.ResourceVector;

/**
 * A declared team.
 *
 * @param id name of the team
 * @param keys API keys of the team's callers
 * @param weight guaranteed rate of submissions in jobs per second; jobs in excess of it wait behind
 *     those of other teams. 0 means no limit
 * @param cap most resources that the team's running tasks may use in the whole fleet; a component
 *     of 0 means no limit
 */
public record Team(TeamId id, Set<String> keys, double weight, ResourceVector cap) {}
