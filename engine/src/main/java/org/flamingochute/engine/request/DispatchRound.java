package org.flamingochute.engine.request;

import java.util.List;
import java.util.Set;
import org.flamingochute.decision.admission.ShedRequest;
import org.flamingochute.decision.identity.TeamId;

/**
 * The result of one dispatch round of a shard.
 *
 * @param dispatches attempts to send, each with a token and a slot of an endpoint
 * @param shed requests removed from the queue without being dispatched
 * @param teamsWithoutTokens teams with requests that wait for a token
 */
record DispatchRound(
    List<Dispatch> dispatches,
    List<ShedRequest<RequestTicket>> shed,
    Set<TeamId> teamsWithoutTokens) {}
