package org.flamingochute.engine.request;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.flamingochute.decision.admission.OfferResult;
import org.flamingochute.decision.admission.RequestQueue;
import org.flamingochute.decision.admission.ShedReason;
import org.flamingochute.decision.admission.ShedRequest;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.ServiceId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.engine.log.ApplyListener;
import org.flamingochute.platform.Timers;

/**
 * Dispatches queued requests to endpoints.
 *
 * <p>A shard runs a dispatch round whenever a request may have become dispatchable: a request was
 * queued, an attempt ended, a token arrived, or the agreed state changed. A timer starts another
 * round when the deadline of a request has passed, which refuses the request if it is still queued.
 */
public final class RequestDispatcher implements ApplyListener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Map<ServiceId, ServiceShard> shards = new ConcurrentHashMap<>();
  private final Function<ServiceId, RequestQueue<RequestTicket>> queueFactory;
  private final TeamTokens tokens;
  private final EndpointTable endpoints;
  private final AttemptRunner attempts;
  private final Timers timers;
  private final MetricRegistry metrics;

  /**
   * Creates a dispatcher with empty queues.
   *
   * @param queueFactory creates the queue of a service
   */
  RequestDispatcher(
      Function<ServiceId, RequestQueue<RequestTicket>> queueFactory,
      TeamTokens tokens,
      EndpointTable endpoints,
      AttemptRunner attempts,
      Timers timers,
      MetricRegistry metrics) {
    this.queueFactory = queueFactory;
    this.tokens = tokens;
    this.endpoints = endpoints;
    this.attempts = attempts;
    this.timers = timers;
    this.metrics = metrics;
  }

  /** Returns the number of waiting requests of all services. */
  public int waiting() {
    int total = 0;
    for (ServiceShard shard : shards.values()) {
      total += shard.queue().size();
    }
    return total;
  }

  /** Returns the number of waiting requests of a service. */
  public int waiting(ServiceId service) {
    ServiceShard shard = shards.get(service);
    return shard == null ? 0 : shard.queue().size();
  }

  /** Returns the number of waiting requests of a team, over all services. */
  public int waiting(TeamId team) {
    int total = 0;
    for (ServiceShard shard : shards.values()) {
      total += shard.waiting(team);
    }
    return total;
  }

  /**
   * Accounts for requests of a team started by other entries, for its fair share over the fleet.
   * Gossip does not report their services, so they are divided equally among the shards.
   */
  public void observeRemoteStarts(TeamId team, long requests) {
    for (ServiceShard shard : shards.values()) {
      shard.queue().observeRemoteService(team, (double) requests / shards.size());
    }
  }

  /** Queues a ticket and schedules its deadline. */
  void submit(RequestTicket ticket) {
    long now = timers.monotonicMilliseconds();
    long remainingMilliseconds = Math.max(0, ticket.deadlineMilliseconds() - now);
    ServiceShard shard = shard(ticket);
    Timers.Cancellation deadline =
        timers.schedule(Duration.ofMillis(remainingMilliseconds + 1), () -> dispatchWaiting(shard));
    ticket.outcome().thenAccept(outcome -> deadline.cancel());
    enqueue(ticket, shard);
  }

  /** Dispatches all requests that can be dispatched now, in every shard. */
  public void dispatchAll() {
    for (ServiceShard shard : shards.values()) {
      dispatchWaiting(shard);
    }
  }

  @Override
  public void afterApply() {
    dispatchAll();
  }

  private ServiceShard shard(RequestTicket ticket) {
    return shards.computeIfAbsent(
        ticket.request().service(),
        service -> new ServiceShard(service, queueFactory.apply(service), tokens, endpoints));
  }

  private void enqueue(RequestTicket ticket, ServiceShard shard) {
    switch (shard.offer(ticket, timers.monotonicMilliseconds())) {
      case OfferResult.Queued<RequestTicket> queued -> {}
      case OfferResult.QueuedWithEviction<RequestTicket>(ShedRequest<RequestTicket> evicted) ->
          refuse(shard, evicted);
      case OfferResult.Refused<RequestTicket>(ShedReason reason) -> refuse(shard, ticket, reason);
    }
    dispatchWaiting(shard);
  }

  private void dispatchWaiting(ServiceShard shard) {
    DispatchRound round = shard.dispatch(timers.monotonicMilliseconds());
    for (ShedRequest<RequestTicket> shed : round.shed()) {
      refuse(shard, shed);
    }
    for (Dispatch dispatch : round.dispatches()) {
      attempts.run(dispatch, this);
    }
    for (TeamId team : round.teamsWithoutTokens()) {
      tokens.requestTokens(team);
    }
  }

  /** Runs the next dispatch round of the shard after one of its attempts has ended. */
  void handleAttemptEnd(Dispatch dispatch) {
    dispatchWaiting(dispatch.shard());
  }

  /** Queues a ticket again after a delay. */
  void retry(Dispatch dispatch, Duration delay) {
    metrics.counter("requests.retried").inc();
    timers.schedule(delay, () -> enqueue(dispatch.ticket(), dispatch.shard()));
  }

  private void refuse(ServiceShard shard, ShedRequest<RequestTicket> shed) {
    refuse(shard, shed.request().content(), shed.reason());
  }

  private void refuse(ServiceShard shard, RequestTicket ticket, ShedReason reason) {
    metrics.counter("requests.shed").inc();
    logger.atInfo().log(
        "event=request_shed service=%s team=%s reason=%s", shard.service(), ticket.team(), reason);
    ticket.refuse(report(shard, ticket, reason));
  }

  private ErrorReport report(ServiceShard shard, RequestTicket ticket, ShedReason reason) {
    return switch (reason) {
      case QUEUE_FULL ->
          ErrorReport.of(ErrorCode.QUEUE_FULL, shard.queue().size(), shard.service());
      case TEAM_QUEUE_FULL ->
          ErrorReport.of(ErrorCode.QUEUE_FULL, shard.waiting(ticket.team()), shard.service());
      case DEADLINE_UNREACHABLE -> deadlineReport(shard, ticket);
    };
  }

  private ErrorReport deadlineReport(ServiceShard shard, RequestTicket ticket) {
    if (endpoints.endpointCount(shard.service()) == 0) {
      return ErrorReport.of(
          ErrorCode.NO_ENDPOINT, shard.service(), "its pool has no instance that accepts work");
    }
    if (tokens.free(ticket.team()) == 0) {
      return ErrorReport.of(ErrorCode.CAP_REACHED, ticket.team(), attempts.cap(ticket.team()));
    }
    return ErrorReport.of(ErrorCode.DEADLINE_PASSED, ticket.request().timeoutMilliseconds());
  }
}
