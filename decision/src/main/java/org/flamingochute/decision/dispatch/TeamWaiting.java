package org.flamingochute.decision.dispatch;

/**
 * Requests of one team that wait for a service.
 *
 * @param share the team's share
 * @param ownWaiting requests that wait at this entry
 * @param totalWaiting requests that wait at all entries, as they reported last
 */
public record TeamWaiting(int share, int ownWaiting, int totalWaiting) {}
