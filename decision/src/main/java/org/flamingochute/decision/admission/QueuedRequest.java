package org.flamingochute.decision.admission;

import org.flamingochute.decision.identity.TeamId;

/**
 * A request that waits for an endpoint.
 *
 * @param team the team that the request counts for
 * @param arrivalMilliseconds when the entry accepted it
 * @param deadlineMilliseconds when the caller gives up
 * @param content what the owner of the queue needs to dispatch it
 */
public record QueuedRequest<T>(
    TeamId team, long arrivalMilliseconds, long deadlineMilliseconds, T content) {}
