package org.flamingochute.scheduling.fleet;

import java.util.Set;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.decision.placement.ResourceVector;

/**
 * A declared team.
 *
 * @param id name of the team
 * @param keys keys that callers of the team may present
 * @param weight share of a full fleet, and jobs a second that the team may hand in
 * @param cap most that the team may have running over the whole fleet; a part that is 0 has no
 *     limit
 */
public record Team(TeamId id, Set<String> keys, double weight, ResourceVector cap) {}
