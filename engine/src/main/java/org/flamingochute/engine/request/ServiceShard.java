package org.flamingochute.engine.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import org.flamingochute.decision.admission.OfferResult;
import org.flamingochute.decision.admission.QueuedRequest;
import org.flamingochute.decision.admission.RequestQueue;
import org.flamingochute.decision.admission.ShedRequest;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.ServiceId;
import org.flamingochute.decision.identity.TeamId;

/**
 * The waiting requests of one service, and the step that pairs a request with a token and a place
 * at an endpoint. Each shard has its own lock, under which nothing is called but the queue, the
 * tokens and the endpoint table.
 */
final class ServiceShard {

  private final ServiceId service;
  private final RequestQueue<RequestTicket> queue;
  private final TeamTokens tokens;
  private final EndpointTable endpoints;
  private final ReentrantLock lock = new ReentrantLock();

  ServiceShard(
      ServiceId service,
      RequestQueue<RequestTicket> queue,
      TeamTokens tokens,
      EndpointTable endpoints) {
    this.service = service;
    this.queue = queue;
    this.tokens = tokens;
    this.endpoints = endpoints;
  }

  ServiceId service() {
    return service;
  }

  RequestQueue<RequestTicket> queue() {
    return queue;
  }

  int waiting(TeamId team) {
    return queue.size(team);
  }

  /** Puts a ticket into the queue. */
  OfferResult<RequestTicket> offer(RequestTicket ticket, long now) {
    return queue.offer(queued(ticket, now), now);
  }

  /** Takes all that can be dispatched now, and all that can not meet its deadline any more. */
  DispatchRound dispatch(long now) {
    DispatchRound round = new DispatchRound(new ArrayList<>(), new ArrayList<>(), new HashSet<>());
    lock.lock();
    try {
      while (pairOne(now, round)) {
        continue;
      }
      round.shed().addAll(queue.expire(now));
    } finally {
      lock.unlock();
    }
    return round;
  }

  private boolean pairOne(long now, DispatchRound round) {
    if (queue.size() == 0) {
      return false;
    }
    Optional<EndpointReservation> place = endpoints.reserve(service, Set.of(), now);
    if (place.isEmpty()) {
      return false;
    }
    Optional<QueuedRequest<RequestTicket>> next =
        queue.poll(now, team -> hasToken(team, round.lacking()));
    if (next.isEmpty()) {
      endpoints.release(place.get().endpoint());
      return false;
    }
    RequestTicket ticket = next.get().content();
    if (!tokens.tryTake(ticket.team())) {
      endpoints.release(place.get().endpoint());
      putBack(next.get(), now, round.shed());
      return false;
    }
    EndpointReservation chosen = avoidRefusing(ticket, place.get(), now);
    round.dispatches().add(new Dispatch(ticket, this, chosen.endpoint(), chosen.address()));
    return true;
  }

  private boolean hasToken(TeamId team, Set<TeamId> lacking) {
    if (tokens.free(team) > 0) {
      return true;
    }
    lacking.add(team);
    return false;
  }

  private void putBack(
      QueuedRequest<RequestTicket> request, long now, List<ShedRequest<RequestTicket>> shed) {
    switch (queue.offer(request, now)) {
      case OfferResult.Queued<RequestTicket> queued -> {}
      case OfferResult.QueuedWithEviction<RequestTicket>(ShedRequest<RequestTicket> evicted) ->
          shed.add(evicted);
      case OfferResult.Refused<RequestTicket>(var reason) ->
          shed.add(new ShedRequest<>(request, reason));
    }
  }

  /** Exchanges a place at an endpoint that refused the ticket before, when another has room. */
  private EndpointReservation avoidRefusing(
      RequestTicket ticket, EndpointReservation place, long now) {
    Set<InstanceId> refusing = ticket.refusingEndpoints();
    if (!refusing.contains(place.endpoint())) {
      return place;
    }
    Optional<EndpointReservation> other = endpoints.reserve(service, refusing, now);
    if (other.isEmpty()) {
      return place;
    }
    endpoints.release(place.endpoint());
    return other.get();
  }

  private static QueuedRequest<RequestTicket> queued(RequestTicket ticket, long now) {
    return new QueuedRequest<>(ticket.team(), now, ticket.deadlineMilliseconds(), ticket);
  }
}
