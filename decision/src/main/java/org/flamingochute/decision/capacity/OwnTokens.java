package org.flamingochute.decision.capacity;

/**
 * This entry's tokens of a team.
 *
 * @param freeTokens tokens that are held and not in use
 * @param inUse tokens in use
 * @param waiting number of requests of the team that wait at this entry
 * @param requested tokens that were requested and have not arrived
 */
public record OwnTokens(int freeTokens, int inUse, int waiting, int requested) {}
