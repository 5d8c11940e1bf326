package org.flamingochute.engine.request;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.rng.UniformRandomProvider;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.dispatch.OutlierDetector;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.decision.misc.LogText;
import org.flamingochute.engine.CallerOutcome;
import org.flamingochute.engine.CallerRequest;
import org.flamingochute.platform.EndpointClient;
import org.flamingochute.platform.EndpointOutcome;
import org.flamingochute.platform.EndpointRequest;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.TeamSection;

/**
 * Sends one attempt to its endpoint and decides what follows from its outcome.
 *
 * <p>Directly before sending, the entry's freshness and membership, the caller's key, the endpoint
 * and the deadline are checked again, since the request may have waited for long.
 *
 * <ul>
 *   <li>An answer ends the request and frees its token.
 *   <li>An attempt that was not run frees its token and is repeated after a random, growing delay.
 *   <li>An attempt with unknown outcome may still run at the endpoint. The connection is closed,
 *       and the endpoint counts the time that was left from the arrival of the request, so the
 *       token stays in use for that time and a margin. Only an idempotent request is repeated, with
 *       another token.
 * </ul>
 *
 * <p>Example: a request with 2000 ms left breaks off after 300 ms. Its token is free again 2000 ms
 * and the margin later, though the caller is told at once.
 */
final class AttemptRunner {

  /** Attempts of one request at most that fail, and that a busy endpoint refuses. */
  private static final int MAXIMUM_FAILED_ATTEMPTS = 5;

  private static final int MAXIMUM_BUSY_ATTEMPTS = 40;

  /** Doublings of the delay before a retry at most. */
  private static final int MAXIMUM_DOUBLINGS = 4;

  /** Middle of the delay before the second attempt, in milliseconds; it doubles with each one. */
  private static final long RETRY_MILLISECONDS = 10;

  /** Time that a request may spend in the network, in milliseconds. */
  private static final long UNKNOWN_MARGIN_MILLISECONDS = 500;

  private static final int SERVER_ERROR = 500;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AgreedView agreed;
  private final RequestAdmission admission;
  private final WorkGate gate;
  private final TeamTokens tokens;
  private final EndpointTable endpoints;
  private final OutlierDetector outliers;
  private final EndpointClient client;
  private final Timers timers;
  private final Incarnation self;
  private final UniformRandomProvider random;
  private final MetricRegistry metrics;
  private final StartCounts startCounts;
  private final AtomicLong requestCounter = new AtomicLong();
  private final AtomicInteger inFlight = new AtomicInteger();

  AttemptRunner(RequestParts parts, RequestAdmission admission) {
    this.agreed = parts.agreed();
    this.admission = admission;
    this.gate = parts.gate();
    this.tokens = parts.tokens();
    this.endpoints = parts.endpoints();
    this.outliers = parts.outliers();
    this.client = parts.client();
    this.timers = parts.timers();
    this.self = parts.self();
    this.random = parts.random();
    this.metrics = parts.metrics();
    this.startCounts = parts.startCounts();
  }

  /** Returns the number of attempts that were sent and have not ended. */
  int inFlight() {
    return inFlight.get();
  }

  /** Returns the team's cap, for messages. */
  int capOf(TeamId team) {
    TeamSection section = agreed.description().getTeamsMap().get(team.value());
    return section == null ? 0 : section.getCap();
  }

  /** Sends the attempt; its ticket ends or goes back to the queue. */
  void run(Dispatch dispatch, RequestDispatcher dispatcher) {
    Optional<ErrorReport> refusal = refusal(dispatch);
    if (refusal.isPresent()) {
      release(dispatch);
      dispatch.ticket().refuse(refusal.get());
      return;
    }
    if (!endpoints.mayTakeWork(dispatch.shard().service(), dispatch.endpoint())) {
      release(dispatch);
      dispatcher.retry(dispatch, Duration.ZERO);
      return;
    }
    send(dispatch, dispatcher);
  }

  private Optional<ErrorReport> refusal(Dispatch dispatch) {
    Optional<ErrorReport> closed = gate.refusalOfStart();
    if (closed.isPresent()) {
      return closed;
    }
    RequestTicket ticket = dispatch.ticket();
    Optional<ErrorReport> withdrawn = admission.refusalOfKey(ticket.request(), ticket.team());
    if (withdrawn.isPresent()) {
      return withdrawn;
    }
    if (left(ticket) <= 0) {
      return Optional.of(
          ErrorReport.of(ErrorCode.DEADLINE_PASSED, ticket.request().timeoutMilliseconds()));
    }
    return Optional.empty();
  }

  private void send(Dispatch dispatch, RequestDispatcher dispatcher) {
    RequestTicket ticket = dispatch.ticket();
    ticket.countAttempt();
    startCounts.started(ticket.team());
    inFlight.incrementAndGet();
    metrics.counter("requests.dispatched").inc();
    CallerRequest request = ticket.request();
    final long begun = timers.monotonicMilliseconds();
    EndpointRequest sent =
        new EndpointRequest(
            self.value() + "-r" + requestCounter.incrementAndGet(),
            request.method(),
            request.path(),
            request.headers(),
            request.body(),
            left(ticket),
            request.idempotent());
    client
        .send(dispatch.address(), sent)
        .thenAccept(outcome -> takeOutcome(dispatch, dispatcher, sent, begun, outcome));
  }

  private void takeOutcome(
      Dispatch dispatch,
      RequestDispatcher dispatcher,
      EndpointRequest sent,
      long begun,
      EndpointOutcome outcome) {
    inFlight.decrementAndGet();
    endpoints.release(dispatch.endpoint());
    switch (outcome) {
      case EndpointOutcome.Answered answered -> takeAnswer(dispatch, begun, answered);
      case EndpointOutcome.NotRun notRun -> takeNotRun(dispatch, dispatcher, notRun);
      case EndpointOutcome.Unknown unknown -> takeUnknown(dispatch, dispatcher, sent, unknown);
    }
    dispatcher.attemptEnded(dispatch);
  }

  private void takeAnswer(Dispatch dispatch, long begun, EndpointOutcome.Answered answered) {
    RequestTicket ticket = dispatch.ticket();
    long now = timers.monotonicMilliseconds();
    tokens.giveBack(ticket.team());
    if (answered.status() >= SERVER_ERROR) {
      noteFailure(dispatch);
    } else {
      outliers.recordSuccess(dispatch.endpoint(), now);
    }
    dispatch.shard().queue().observeServiceTime(ticket.team(), now - begun);
    metrics.timer("requests.service_time").update(now - begun, TimeUnit.MILLISECONDS);
    ticket.answer(
        new CallerOutcome.Answered(answered.status(), answered.headers(), answered.body()));
  }

  private void takeNotRun(
      Dispatch dispatch, RequestDispatcher dispatcher, EndpointOutcome.NotRun notRun) {
    tokens.giveBack(dispatch.ticket().team());
    if (notRun.busy()) {
      endpoints.noteBusy(dispatch.endpoint(), timers.monotonicMilliseconds());
    } else {
      noteFailure(dispatch);
      dispatch.ticket().noteRefusal(dispatch.endpoint());
      dispatch.ticket().countFailure();
    }
    metrics.counter("requests.attempts_not_run").inc();
    logger.atFine().log(
        "event=attempt_not_run endpoint=%s detail=%s",
        dispatch.endpoint(), LogText.quoted(notRun.detail()));
    retryOrRefuse(dispatch, dispatcher, notRun.detail());
  }

  private void takeUnknown(
      Dispatch dispatch,
      RequestDispatcher dispatcher,
      EndpointRequest sent,
      EndpointOutcome.Unknown unknown) {
    RequestTicket ticket = dispatch.ticket();
    holdToken(ticket.team(), sent.timeoutMilliseconds() + UNKNOWN_MARGIN_MILLISECONDS);
    noteFailure(dispatch);
    metrics.counter("requests.attempts_unknown").inc();
    logger.atInfo().log(
        "event=attempt_unknown endpoint=%s detail=%s",
        dispatch.endpoint(), LogText.quoted(unknown.detail()));
    if (!sent.idempotent()) {
      ticket.failUnknown(unknown.detail());
      return;
    }
    ticket.noteMaybeRun();
    ticket.countFailure();
    ticket.noteRefusal(dispatch.endpoint());
    retryOrRefuse(dispatch, dispatcher, unknown.detail());
  }

  private void holdToken(TeamId team, long milliseconds) {
    inFlight.incrementAndGet();
    timers.schedule(
        Duration.ofMillis(milliseconds),
        () -> {
          inFlight.decrementAndGet();
          tokens.giveBack(team);
        });
  }

  private void retryOrRefuse(Dispatch dispatch, RequestDispatcher dispatcher, String detail) {
    RequestTicket ticket = dispatch.ticket();
    long delay = retryDelay(ticket.attempts());
    boolean isSpent =
        ticket.failures() >= MAXIMUM_FAILED_ATTEMPTS || ticket.attempts() >= MAXIMUM_BUSY_ATTEMPTS;
    if (isSpent || delay >= left(ticket)) {
      ticket.refuse(ErrorReport.of(ErrorCode.NO_ENDPOINT, dispatch.shard().service(), detail));
      return;
    }
    dispatcher.retry(dispatch, Duration.ofMillis(delay));
  }

  private synchronized long retryDelay(int attempt) {
    long middle = RETRY_MILLISECONDS << Math.min(attempt - 1, MAXIMUM_DOUBLINGS);
    return middle / 2 + random.nextLong(middle);
  }

  private void noteFailure(Dispatch dispatch) {
    int count = endpoints.endpointCount(dispatch.shard().service());
    outliers.recordFailure(dispatch.endpoint(), count, timers.monotonicMilliseconds());
  }

  private void release(Dispatch dispatch) {
    endpoints.release(dispatch.endpoint());
    tokens.giveBack(dispatch.ticket().team());
  }

  private long left(RequestTicket ticket) {
    return ticket.deadlineMilliseconds() - timers.monotonicMilliseconds();
  }
}
