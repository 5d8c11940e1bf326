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
 * Sends one attempt to its endpoint and handles its outcome.
 *
 * <p>Directly before sending, the entry's freshness and membership, the caller's key, the endpoint
 * and the deadline are checked again, since the request may have waited in the queue for a long
 * time.
 *
 * <ul>
 *   <li>A response completes the request and releases its token.
 *   <li>An attempt that was not run releases its token. The request is retried after a random,
 *       exponentially growing delay, unless the limit of its attempts or its deadline is reached.
 *   <li>An attempt with unknown outcome may still run at the endpoint. The connection is closed,
 *       and the endpoint measures the remaining time from the arrival of the request, so the token
 *       stays in use for that time plus a margin. Only an idempotent request is retried, with
 *       another token.
 * </ul>
 *
 * <p>Example: the connection of a request with 2000 ms left fails after 300 ms. Its token is
 * released 2000 ms plus the margin later, although the caller gets its outcome immediately.
 */
final class AttemptRunner {

  /**
   * Maximum number of attempts of one request that fail for another reason than a busy endpoint.
   */
  private static final int MAXIMUM_FAILED_ATTEMPTS = 5;

  /** Maximum number of attempts of one request, including those that busy endpoints refuse. */
  private static final int MAXIMUM_ATTEMPTS = 40;

  /** Maximum number of doublings of the retry delay. */
  private static final int MAXIMUM_BACKOFF_DOUBLINGS = 4;

  /** Mean delay before the second attempt; it doubles with each further attempt. */
  private static final long INITIAL_BACKOFF_MILLISECONDS = 10;

  /**
   * Time that a request may spend in the network. It is added to the time for which a token stays
   * in use after an unknown outcome.
   */
  private static final long NETWORK_MARGIN_MILLISECONDS = 500;

  private static final int FIRST_SERVER_ERROR_STATUS = 500;

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
  private final StartedRequestCounter startedRequests;
  private final AtomicLong requestCounter = new AtomicLong();
  private final AtomicInteger inFlight = new AtomicInteger();

  AttemptRunner(RequestDependencies dependencies, RequestAdmission admission) {
    this.agreed = dependencies.agreed();
    this.admission = admission;
    this.gate = dependencies.gate();
    this.tokens = dependencies.tokens();
    this.endpoints = dependencies.endpoints();
    this.outliers = dependencies.outliers();
    this.client = dependencies.client();
    this.timers = dependencies.timers();
    this.self = dependencies.self();
    this.random = dependencies.random();
    this.metrics = dependencies.metrics();
    this.startedRequests = dependencies.startedRequests();
  }

  /** Returns the number of sent attempts whose tokens are still in use. */
  int inFlight() {
    return inFlight.get();
  }

  /** Returns the team's cap for error reports, or 0 if the team is not in the description. */
  int cap(TeamId team) {
    TeamSection section = agreed.description().getTeamsMap().get(team.value());
    return section == null ? 0 : section.getCap();
  }

  /** Sends the attempt; its ticket is completed or returns to the queue. */
  void run(Dispatch dispatch, RequestDispatcher dispatcher) {
    Optional<ErrorReport> refusal = refusal(dispatch);
    if (refusal.isPresent()) {
      release(dispatch);
      dispatch.ticket().refuse(refusal.get());
      return;
    }
    if (!endpoints.acceptsWork(dispatch.shard().service(), dispatch.endpoint())) {
      release(dispatch);
      dispatcher.retry(dispatch, Duration.ZERO);
      return;
    }
    send(dispatch, dispatcher);
  }

  private Optional<ErrorReport> refusal(Dispatch dispatch) {
    Optional<ErrorReport> entryRefusal = gate.startRefusal();
    if (entryRefusal.isPresent()) {
      return entryRefusal;
    }
    RequestTicket ticket = dispatch.ticket();
    Optional<ErrorReport> keyRefusal = admission.keyRefusal(ticket.request(), ticket.team());
    if (keyRefusal.isPresent()) {
      return keyRefusal;
    }
    if (remainingMilliseconds(ticket) <= 0) {
      return Optional.of(
          ErrorReport.of(ErrorCode.DEADLINE_PASSED, ticket.request().timeoutMilliseconds()));
    }
    return Optional.empty();
  }

  private void send(Dispatch dispatch, RequestDispatcher dispatcher) {
    RequestTicket ticket = dispatch.ticket();
    ticket.countAttempt();
    startedRequests.increment(ticket.team());
    inFlight.incrementAndGet();
    metrics.counter("requests.dispatched").inc();
    CallerRequest request = ticket.request();
    final long startMilliseconds = timers.monotonicMilliseconds();
    EndpointRequest endpointRequest =
        new EndpointRequest(
            self.value() + "-r" + requestCounter.incrementAndGet(),
            request.method(),
            request.path(),
            request.headers(),
            request.body(),
            remainingMilliseconds(ticket),
            request.idempotent());
    client
        .send(dispatch.address(), endpointRequest)
        .thenAccept(
            outcome ->
                handleOutcome(dispatch, dispatcher, endpointRequest, startMilliseconds, outcome));
  }

  private void handleOutcome(
      Dispatch dispatch,
      RequestDispatcher dispatcher,
      EndpointRequest endpointRequest,
      long startMilliseconds,
      EndpointOutcome outcome) {
    inFlight.decrementAndGet();
    endpoints.release(dispatch.endpoint());
    switch (outcome) {
      case EndpointOutcome.Answered answered ->
          handleAnswered(dispatch, startMilliseconds, answered);
      case EndpointOutcome.NotRun notRun -> handleNotRun(dispatch, dispatcher, notRun);
      case EndpointOutcome.Unknown unknown ->
          handleUnknown(dispatch, dispatcher, endpointRequest, unknown);
    }
    dispatcher.handleAttemptEnd(dispatch);
  }

  private void handleAnswered(
      Dispatch dispatch, long startMilliseconds, EndpointOutcome.Answered answered) {
    RequestTicket ticket = dispatch.ticket();
    long now = timers.monotonicMilliseconds();
    tokens.release(ticket.team());
    if (answered.status() >= FIRST_SERVER_ERROR_STATUS) {
      recordFailure(dispatch);
    } else {
      outliers.recordSuccess(dispatch.endpoint(), now);
    }
    dispatch.shard().queue().observeServiceTime(ticket.team(), now - startMilliseconds);
    metrics.timer("requests.service_time").update(now - startMilliseconds, TimeUnit.MILLISECONDS);
    ticket.completeAnswered(
        new CallerOutcome.Answered(answered.status(), answered.headers(), answered.body()));
  }

  private void handleNotRun(
      Dispatch dispatch, RequestDispatcher dispatcher, EndpointOutcome.NotRun notRun) {
    tokens.release(dispatch.ticket().team());
    if (notRun.busy()) {
      endpoints.markBusy(dispatch.endpoint(), timers.monotonicMilliseconds());
    } else {
      recordFailure(dispatch);
      dispatch.ticket().addFailedEndpoint(dispatch.endpoint());
      dispatch.ticket().countFailure();
    }
    metrics.counter("requests.attempts_not_run").inc();
    logger.atFine().log(
        "event=attempt_not_run endpoint=%s detail=%s",
        dispatch.endpoint(), LogText.quoted(notRun.detail()));
    retryOrRefuse(dispatch, dispatcher, notRun.detail());
  }

  private void handleUnknown(
      Dispatch dispatch,
      RequestDispatcher dispatcher,
      EndpointRequest endpointRequest,
      EndpointOutcome.Unknown unknown) {
    RequestTicket ticket = dispatch.ticket();
    releaseTokenAfter(
        ticket.team(), endpointRequest.timeoutMilliseconds() + NETWORK_MARGIN_MILLISECONDS);
    recordFailure(dispatch);
    metrics.counter("requests.attempts_unknown").inc();
    logger.atInfo().log(
        "event=attempt_unknown endpoint=%s detail=%s",
        dispatch.endpoint(), LogText.quoted(unknown.detail()));
    if (!endpointRequest.idempotent()) {
      ticket.failUnknown(unknown.detail());
      return;
    }
    ticket.markPossiblyRun();
    ticket.countFailure();
    ticket.addFailedEndpoint(dispatch.endpoint());
    retryOrRefuse(dispatch, dispatcher, unknown.detail());
  }

  private void releaseTokenAfter(TeamId team, long milliseconds) {
    inFlight.incrementAndGet();
    timers.schedule(
        Duration.ofMillis(milliseconds),
        () -> {
          inFlight.decrementAndGet();
          tokens.release(team);
        });
  }

  private void retryOrRefuse(Dispatch dispatch, RequestDispatcher dispatcher, String detail) {
    RequestTicket ticket = dispatch.ticket();
    long delay = retryDelayMilliseconds(ticket.attempts());
    boolean isExhausted =
        ticket.failures() >= MAXIMUM_FAILED_ATTEMPTS || ticket.attempts() >= MAXIMUM_ATTEMPTS;
    if (isExhausted || delay >= remainingMilliseconds(ticket)) {
      ticket.refuse(ErrorReport.of(ErrorCode.NO_ENDPOINT, dispatch.shard().service(), detail));
      return;
    }
    dispatcher.retry(dispatch, Duration.ofMillis(delay));
  }

  private synchronized long retryDelayMilliseconds(int attempt) {
    long mean = INITIAL_BACKOFF_MILLISECONDS << Math.min(attempt - 1, MAXIMUM_BACKOFF_DOUBLINGS);
    return mean / 2 + random.nextLong(mean);
  }

  private void recordFailure(Dispatch dispatch) {
    int count = endpoints.endpointCount(dispatch.shard().service());
    outliers.recordFailure(dispatch.endpoint(), count, timers.monotonicMilliseconds());
  }

  private void release(Dispatch dispatch) {
    endpoints.release(dispatch.endpoint());
    tokens.release(dispatch.ticket().team());
  }

  private long remainingMilliseconds(RequestTicket ticket) {
    return ticket.deadlineMilliseconds() - timers.monotonicMilliseconds();
  }
}
