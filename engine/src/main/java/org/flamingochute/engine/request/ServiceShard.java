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
 * The waiting requests of one service, and the assignment of a token and an endpoint slot to a
 * request. Each shard has its own lock; only the queue, the tokens and the endpoint table are
 * called while it is held.
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

  /** Adds a ticket to the queue. */
  OfferResult<RequestTicket> offer(RequestTicket ticket, long nowMilliseconds) {
    return queue.offer(queued(ticket, nowMilliseconds), nowMilliseconds);
  }

  /**
   * Removes the requests that can be dispatched now, and those that can no longer meet their
   * deadlines.
   */
  DispatchRound dispatch(long nowMilliseconds) {
    DispatchRound round = new DispatchRound(new ArrayList<>(), new ArrayList<>(), new HashSet<>());
    lock.lock();
    try {
      while (dispatchOne(nowMilliseconds, round)) {
        continue;
      }
      round.shed().addAll(queue.expire(nowMilliseconds));
    } finally {
      lock.unlock();
    }
    return round;
  }

  private boolean dispatchOne(long nowMilliseconds, DispatchRound round) {
    if (queue.size() == 0) {
      return false;
    }
    Optional<EndpointReservation> reservation =
        endpoints.reserve(service, Set.of(), nowMilliseconds);
    if (reservation.isEmpty()) {
      return false;
    }
    Optional<QueuedRequest<RequestTicket>> next =
        queue.poll(nowMilliseconds, team -> hasToken(team, round.teamsWithoutTokens()));
    if (next.isEmpty()) {
      endpoints.release(reservation.get().endpoint());
      return false;
    }
    RequestTicket ticket = next.get().content();
    if (!tokens.tryAcquire(ticket.team())) {
      endpoints.release(reservation.get().endpoint());
      requeue(next.get(), nowMilliseconds, round.shed());
      return false;
    }
    EndpointReservation chosen = avoidFailedEndpoint(ticket, reservation.get(), nowMilliseconds);
    round.dispatches().add(new Dispatch(ticket, this, chosen.endpoint(), chosen.address()));
    return true;
  }

  private boolean hasToken(TeamId team, Set<TeamId> teamsWithoutTokens) {
    if (tokens.free(team) > 0) {
      return true;
    }
    teamsWithoutTokens.add(team);
    return false;
  }

  private void requeue(
      QueuedRequest<RequestTicket> request,
      long nowMilliseconds,
      List<ShedRequest<RequestTicket>> shed) {
    switch (queue.offer(request, nowMilliseconds)) {
      case OfferResult.Queued<RequestTicket> queued -> {}
      case OfferResult.QueuedWithEviction<RequestTicket>(ShedRequest<RequestTicket> evicted) ->
          shed.add(evicted);
      case OfferResult.Refused<RequestTicket>(var reason) ->
          shed.add(new ShedRequest<>(request, reason));
    }
  }

  /**
   * Replaces a reservation at an endpoint where an earlier attempt of the ticket failed, if another
   * endpoint has a free slot.
   */
  private EndpointReservation avoidFailedEndpoint(
      RequestTicket ticket, EndpointReservation reservation, long nowMilliseconds) {
    Set<InstanceId> failedEndpoints = ticket.failedEndpoints();
    if (!failedEndpoints.contains(reservation.endpoint())) {
      return reservation;
    }
    Optional<EndpointReservation> other =
        endpoints.reserve(service, failedEndpoints, nowMilliseconds);
    if (other.isEmpty()) {
      return reservation;
    }
    endpoints.release(reservation.endpoint());
    return other.get();
  }

  private static QueuedRequest<RequestTicket> queued(RequestTicket ticket, long nowMilliseconds) {
    return new QueuedRequest<>(
        ticket.team(), nowMilliseconds, ticket.deadlineMilliseconds(), ticket);
  }
}
