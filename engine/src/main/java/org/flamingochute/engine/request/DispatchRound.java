package org.flamingochute.engine.request;

import java.util.List;
import java.util.Set;
import org.flamingochute.decision.admission.ShedRequest;
import org.flamingochute.decision.identity.TeamId;

/**
 * What one dispatch round of a shard gave.
 *
 * @param dispatches attempts to send, each with a token and a place
 * @param shed requests that left the queue without being dispatched
 * @param lacking teams whose requests wait for a token
 */
record DispatchRound(
    List<Dispatch> dispatches, List<ShedRequest<RequestTicket>> shed, Set<TeamId> lacking) {}
