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
import org.flamingochute.engine.log.ApplyListener;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.TeamSection;

/**
 * Serves callers' requests: checks them, claims their idempotency keys, and submits them to the
 * dispatcher.
 */
public final class RequestService implements ApplyListener {

  private final RequestDependencies dependencies;
  private final RequestAdmission admission;
  private final ClaimManager claims;
  private final AttemptRunner attempts;
  private final RequestDispatcher dispatcher;
  private final MetricRegistry metrics;
  private final AtomicInteger openRequests = new AtomicInteger();

  /** Creates the service. */
  public RequestService(RequestDependencies dependencies) {
    this.dependencies = dependencies;
    this.admission = new RequestAdmission(dependencies.agreed(), dependencies.keys());
    this.claims = new ClaimManager(dependencies);
    this.attempts = new AttemptRunner(dependencies, admission);
    this.metrics = dependencies.metrics();
    this.dispatcher =
        new RequestDispatcher(
            service -> newQueue(),
            dependencies.tokens(),
            dependencies.endpoints(),
            attempts,
            dependencies.timers(),
            metrics);
  }

  /** Returns the listener for claims, which must be registered before the appender. */
  public AgreementListener claimListener() {
    return claims;
  }

  /** Returns the dispatcher. */
  public RequestDispatcher dispatcher() {
    return dispatcher;
  }

  /** Returns whether no request is waiting or running and no settlement is pending. */
  public boolean isIdle() {
    return openRequests.get() == 0 && attempts.inFlight() == 0 && claims.pendingSettlements() == 0;
  }

  /** Serves one request; the future never completes exceptionally. */
  public CompletableFuture<CallerOutcome> request(CallerRequest request) {
    openRequests.incrementAndGet();
    metrics.counter("requests.received").inc();
    CompletableFuture<CallerOutcome> outcome = admit(request);
    outcome.thenAccept(this::count);
    return outcome;
  }

  @Override
  public void afterApply() {
    claims.afterApply();
    dispatcher.afterApply();
  }

  private CompletableFuture<CallerOutcome> admit(CallerRequest request) {
    Optional<ErrorReport> refusal = dependencies.gate().newWorkRefusal();
    if (refusal.isPresent()) {
      return refused(refusal.get());
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
    long deadlineMilliseconds =
        dependencies.timers().monotonicMilliseconds() + timeoutMilliseconds(request);
    RequestTicket ticket = new RequestTicket(request, team.get(), deadlineMilliseconds);
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

  private long timeoutMilliseconds(CallerRequest request) {
    long maximum = dependencies.agreed().description().getFleet().getMaximumRequestMilliseconds();
    return Math.min(request.timeoutMilliseconds(), maximum);
  }

  private RequestQueue<RequestTicket> newQueue() {
    int waiting = dependencies.maximumWaitingRequests();
    FairQueueSettings settings =
        FairQueueSettings.builder().bounds(new QueueBounds(waiting, waiting)).build();
    return new FairRequestQueue<>(settings, this::share);
  }

  private int share(TeamId team) {
    FleetDescription description = dependencies.agreed().description();
    TeamSection section = description.getTeamsMap().get(team.value());
    return section == null ? 1 : section.getShare();
  }

  private void count(CallerOutcome outcome) {
    openRequests.decrementAndGet();
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
