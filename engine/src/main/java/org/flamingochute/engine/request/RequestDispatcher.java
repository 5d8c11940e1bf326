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
import org.flamingochute.engine.log.FoldReaction;
import org.flamingochute.platform.Timers;

/**
 * Moves requests from their queues to endpoints.
 *
 * <p>A turn of a lane is taken whenever something may have become possible: a request came, an
 * attempt ended, a token arrived, or the agreed state changed. A request that waits at its deadline
 * is refused by its timer.
 */
public final class RequestDispatcher implements FoldReaction {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Map<ServiceId, ServiceLane> lanes = new ConcurrentHashMap<>();
  private final Function<ServiceId, RequestQueue<RequestTicket>> queues;
  private final TeamTokens tokens;
  private final EndpointTable endpoints;
  private final AttemptRunner attempts;
  private final Timers timers;
  private final MetricRegistry metrics;

  /**
   * Creates a dispatcher without waiting requests.
   *
   * @param queues creates the queue of a service
   */
  RequestDispatcher(
      Function<ServiceId, RequestQueue<RequestTicket>> queues,
      TeamTokens tokens,
      EndpointTable endpoints,
      AttemptRunner attempts,
      Timers timers,
      MetricRegistry metrics) {
    this.queues = queues;
    this.tokens = tokens;
    this.endpoints = endpoints;
    this.attempts = attempts;
    this.timers = timers;
    this.metrics = metrics;
  }

  /** Returns the number of requests that wait, of all services. */
  public int waiting() {
    int total = 0;
    for (ServiceLane lane : lanes.values()) {
      total += lane.queue().size();
    }
    return total;
  }

  /** Returns the number of requests of a service that wait. */
  public int waiting(ServiceId service) {
    ServiceLane lane = lanes.get(service);
    return lane == null ? 0 : lane.queue().size();
  }

  /** Returns the number of requests of a team that wait, of all services. */
  public int waiting(TeamId team) {
    int total = 0;
    for (ServiceLane lane : lanes.values()) {
      total += lane.waiting(team);
    }
    return total;
  }

  /** Notes that other entries started requests of a team, for its fair share over the fleet. */
  public void remoteStarts(TeamId team, long requests) {
    for (ServiceLane lane : lanes.values()) {
      lane.queue().observeRemoteService(team, (double) requests / lanes.size());
    }
  }

  /** Queues a ticket, and arms its deadline. */
  void submit(RequestTicket ticket) {
    long now = timers.monotonicMilliseconds();
    long left = Math.max(0, ticket.deadlineMilliseconds() - now);
    ServiceLane lane = lane(ticket);
    Timers.Cancellation deadline =
        timers.schedule(Duration.ofMillis(left + 1), () -> takeTurn(lane));
    ticket.outcome().thenAccept(outcome -> deadline.cancel());
    enqueue(ticket, lane);
  }

  /** Takes a turn of every lane. */
  public void takeTurns() {
    for (ServiceLane lane : lanes.values()) {
      takeTurn(lane);
    }
  }

  @Override
  public void folded() {
    takeTurns();
  }

  private ServiceLane lane(RequestTicket ticket) {
    return lanes.computeIfAbsent(
        ticket.request().service(),
        service -> new ServiceLane(service, queues.apply(service), tokens, endpoints));
  }

  private void enqueue(RequestTicket ticket, ServiceLane lane) {
    switch (lane.offer(ticket, timers.monotonicMilliseconds())) {
      case OfferResult.Queued<RequestTicket> queued -> {}
      case OfferResult.QueuedWithEviction<RequestTicket>(ShedRequest<RequestTicket> evicted) ->
          refuse(lane, evicted);
      case OfferResult.Refused<RequestTicket>(ShedReason reason) -> refuse(lane, ticket, reason);
    }
    takeTurn(lane);
  }

  private void takeTurn(ServiceLane lane) {
    LaneTurn turn = lane.turn(timers.monotonicMilliseconds());
    for (ShedRequest<RequestTicket> shed : turn.shed()) {
      refuse(lane, shed);
    }
    for (Dispatch dispatch : turn.dispatches()) {
      attempts.run(dispatch, this);
    }
    for (TeamId team : turn.lacking()) {
      tokens.wanted(team);
    }
  }

  /** Takes the next turn after an attempt, and queues its ticket again when it is to be retried. */
  void attemptEnded(Dispatch dispatch) {
    takeTurn(dispatch.lane());
  }

  /** Queues a ticket again after a delay. */
  void retry(Dispatch dispatch, Duration delay) {
    metrics.counter("requests.retried").inc();
    timers.schedule(delay, () -> enqueue(dispatch.ticket(), dispatch.lane()));
  }

  private void refuse(ServiceLane lane, ShedRequest<RequestTicket> shed) {
    refuse(lane, shed.request().content(), shed.reason());
  }

  private void refuse(ServiceLane lane, RequestTicket ticket, ShedReason reason) {
    metrics.counter("requests.shed").inc();
    logger.atInfo().log(
        "event=request_shed service=%s team=%s reason=%s", lane.service(), ticket.team(), reason);
    ticket.refuse(report(lane, ticket, reason));
  }

  private ErrorReport report(ServiceLane lane, RequestTicket ticket, ShedReason reason) {
    return switch (reason) {
      case QUEUE_FULL -> ErrorReport.of(ErrorCode.QUEUE_FULL, lane.queue().size(), lane.service());
      case TEAM_QUEUE_FULL ->
          ErrorReport.of(ErrorCode.QUEUE_FULL, lane.waiting(ticket.team()), lane.service());
      case DEADLINE_UNREACHABLE -> deadlineReport(lane, ticket);
    };
  }

  private ErrorReport deadlineReport(ServiceLane lane, RequestTicket ticket) {
    if (endpoints.endpointCount(lane.service()) == 0) {
      return ErrorReport.of(
          ErrorCode.NO_ENDPOINT, lane.service(), "its pool has no instance that takes work");
    }
    if (tokens.free(ticket.team()) == 0) {
      return ErrorReport.of(ErrorCode.CAP_REACHED, ticket.team(), attempts.capOf(ticket.team()));
    }
    return ErrorReport.of(ErrorCode.DEADLINE_PASSED, ticket.request().timeoutMilliseconds());
  }
}
