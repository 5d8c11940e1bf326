package org.flamingochute.engine.request;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.flamingochute.decision.admission.FairQueueSettings;
import org.flamingochute.decision.admission.FairRequestQueue;
import org.flamingochute.decision.admission.QueueBounds;
import org.flamingochute.decision.admission.RequestQueue;
import org.flamingochute.decision.agreement.AgreementListener;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.engine.CallerOutcome;
import org.flamingochute.engine.CallerRequest;
import org.flamingochute.engine.log.FoldReaction;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.TeamSection;

/**
 * Serves callers' requests: checks them, claims their idempotency keys, and hands them to the
 * dispatcher.
 */
public final class RequestService implements FoldReaction {

  private final RequestParts parts;
  private final RequestAdmission admission;
  private final ClaimKeeper claims;
  private final AttemptRunner attempts;
  private final RequestDispatcher dispatcher;
  private final MetricRegistry metrics;
  private final AtomicInteger open = new AtomicInteger();

  /** Creates the service. */
  public RequestService(RequestParts parts) {
    this.parts = parts;
    this.admission = new RequestAdmission(parts.agreed(), parts.keys());
    this.claims = new ClaimKeeper(parts);
    this.attempts = new AttemptRunner(parts, admission);
    this.metrics = parts.metrics();
    this.dispatcher =
        new RequestDispatcher(
            service -> newQueue(),
            parts.tokens(),
            parts.endpoints(),
            attempts,
            parts.timers(),
            metrics);
  }

  /** Returns the listener that must be told of the agreed state before the appender is. */
  public AgreementListener claimListener() {
    return claims;
  }

  /** Returns the dispatcher. */
  public RequestDispatcher dispatcher() {
    return dispatcher;
  }

  /** Tells whether nothing waits, runs, or has to be settled. */
  public boolean isIdle() {
    return open.get() == 0 && attempts.inFlight() == 0 && claims.unsettled() == 0;
  }

  /** Serves one request; the future never completes exceptionally. */
  public CompletableFuture<CallerOutcome> request(CallerRequest request) {
    open.incrementAndGet();
    metrics.counter("requests.received").inc();
    CompletableFuture<CallerOutcome> outcome = admit(request);
    outcome.thenAccept(this::count);
    return outcome;
  }

  @Override
  public void folded() {
    claims.folded();
    dispatcher.folded();
  }

  private CompletableFuture<CallerOutcome> admit(CallerRequest request) {
    Optional<ErrorReport> closed = parts.gate().refusalOfNewWork();
    if (closed.isPresent()) {
      return refused(closed.get());
    }
    Either<ErrorReport, TeamId> team = admission.team(request);
    if (team.isLeft()) {
      return refused(team.getLeft());
    }
    if (request.timeoutMilliseconds() <= 0) {
      return refused(
          ErrorReport.of(
              ErrorCode.REQUEST_MALFORMED,
              "timeout",
              request.timeoutMilliseconds(),
              "it must be positive"));
    }
    long deadline = parts.timers().monotonicMilliseconds() + timeout(request);
    RequestTicket ticket = new RequestTicket(request, team.get(), deadline);
    if (request.idempotencyKey().isEmpty()) {
      dispatcher.submit(ticket);
      return ticket.outcome();
    }
    return claimThenSubmit(ticket, new ClaimId(team.get(), request.idempotencyKey().get()));
  }

  private CompletableFuture<CallerOutcome> claimThenSubmit(RequestTicket ticket, ClaimId id) {
    String digest = RequestDigest.of(ticket.request());
    return claims
        .claim(id, digest, ticket.deadlineMilliseconds())
        .thenCompose(
            decision ->
                switch (decision) {
                  case ClaimDecision.Granted granted -> submitClaimed(ticket, id);
                  case ClaimDecision.Ended(CallerOutcome outcome) ->
                      CompletableFuture.completedFuture(outcome);
                });
  }

  private CompletableFuture<CallerOutcome> submitClaimed(RequestTicket ticket, ClaimId id) {
    ticket.outcome().thenAccept(outcome -> claims.settle(id, outcome));
    dispatcher.submit(ticket);
    return ticket.outcome();
  }

  private long timeout(CallerRequest request) {
    long longest = parts.agreed().description().getFleet().getMaximumRequestMilliseconds();
    return Math.min(request.timeoutMilliseconds(), longest);
  }

  private RequestQueue<RequestTicket> newQueue() {
    int waiting = parts.maximumWaiting();
    FairQueueSettings settings =
        FairQueueSettings.builder().bounds(new QueueBounds(waiting, waiting)).build();
    return new FairRequestQueue<>(settings, this::share);
  }

  private int share(TeamId team) {
    FleetDescription description = parts.agreed().description();
    TeamSection section = description.getTeamsMap().get(team.value());
    return section == null ? 1 : section.getShare();
  }

  private void count(CallerOutcome outcome) {
    open.decrementAndGet();
    switch (outcome) {
      case CallerOutcome.Answered answered -> metrics.counter("requests.answered").inc();
      case CallerOutcome.NotRun notRun -> metrics.counter("requests.not_run").inc();
      case CallerOutcome.Unknown unknown -> metrics.counter("requests.unknown").inc();
    }
  }

  private static CompletableFuture<CallerOutcome> refused(ErrorReport report) {
    return CompletableFuture.completedFuture(new CallerOutcome.NotRun(report));
  }
}
