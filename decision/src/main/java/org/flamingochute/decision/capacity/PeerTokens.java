package org.flamingochute.decision.capacity;

import org.flamingochute.decision.identity.Incarnation;

/**
 * What another entry reported about its tokens of a team.
 *
 * @param peer the other entry
 * @param freeTokens tokens that it has in hand and not in use
 * @param waiting requests of the team that wait there
 */
public record PeerTokens(Incarnation peer, int freeTokens, int waiting) {}
