package org.flamingochute.decision.dispatch;

/**
 * The number of requests of one team that wait for a service.
 *
 * @param share the team's share
 * @param ownWaiting number of requests that wait at this entry
 * @param totalWaiting number of requests that wait at all entries, as last reported
 */
public record TeamWaitingCount(int share, int ownWaiting, int totalWaiting) {}
