package org.flamingochute.decision.capacity;

import org.flamingochute.decision.identity.Incarnation;

/**
 * The last report of another entry about its tokens of a team.
 *
 * @param peer the other entry
 * @param freeTokens tokens that it holds and that are not in use
 * @param waiting number of requests of the team that wait there
 */
public record PeerTokens(Incarnation peer, int freeTokens, int waiting) {}
