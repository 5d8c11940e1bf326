package org.flamingochute.decision.admission;

import org.flamingochute.decision.identity.TeamId;

/**
 * A request that waits for an endpoint.
 *
 * @param team the team that the request belongs to
 * @param arrivalMilliseconds when the entry accepted it, in milliseconds
 * @param deadlineMilliseconds when the caller stops waiting, in milliseconds
 * @param content data that the owner of the queue needs to dispatch it
 */
public record QueuedRequest<T>(
    TeamId team, long arrivalMilliseconds, long deadlineMilliseconds, T content) {}
