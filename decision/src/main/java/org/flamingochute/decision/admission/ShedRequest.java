package org.flamingochute.decision.admission;

/**
 * A request that was removed from a queue without having been dispatched.
 *
 * @param request the request
 * @param reason the reason for the removal
 */
public record ShedRequest<T>(QueuedRequest<T> request, ShedReason reason) {}
