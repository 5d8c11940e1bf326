package org.flamingochute.decision.capacity;

/**
 * This entry's tokens of a team.
 *
 * @param freeTokens tokens in hand and not in use
 * @param inUse tokens in use
 * @param waiting requests of the team that wait here
 * @param asked tokens that were asked for and have not arrived
 */
public record OwnTokens(int freeTokens, int inUse, int waiting, int asked) {}
