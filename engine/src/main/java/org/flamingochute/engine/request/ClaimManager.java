package org.flamingochute.engine.request;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.decision.agreement.AgreementListener;
import org.flamingochute.decision.agreement.ApplyResult;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.IdempotencyKey;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.engine.CallerOutcome;
import org.flamingochute.engine.log.AppendOutcome;
import org.flamingochute.engine.log.ApplyListener;
import org.flamingochute.engine.log.LogAppender;
import org.flamingochute.platform.HeaderField;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.ClaimImage;
import org.flamingochute.schema.IdempotencyClaimed;
import org.flamingochute.schema.IdempotencySettled;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.Outcome;

/**
 * Claims idempotency keys before dispatch and settles the claims afterwards.
 *
 * <p>A request is dispatched only after its own claim record was read back as accepted. Each claim
 * is settled by exactly one record: a delayed second one could free a later claim of this entry
 * while its request runs. For the same reason a settlement is retried under one record id until it
 * is in the log.
 *
 * <p>A claim whose append timed out may still reach the log. Its request was refused as not run, so
 * the claim is settled as not run once it is applied.
 *
 * <p>Example: entries A and B claim key k concurrently, and A's claim comes first in the log. A
 * dispatches; B reads back its own claim as refused, waits until A's settlement is applied, and
 * returns the stored response.
 */
final class ClaimManager implements AgreementListener, ApplyListener {

  /** Maximum size of a response body that is stored for repetitions. */
  static final int MAXIMUM_STORED_BODY_BYTES = 4096;

  /** Long, so that the appender retries the record under its id instead of giving it up. */
  private static final long SETTLE_TIMEOUT_MILLISECONDS = Duration.ofDays(1).toMillis();

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final LogAppender appender;
  private final ClaimEvaluator evaluator;
  private final Timers timers;
  private final Incarnation self;
  private final MetricRegistry metrics;
  private final Set<ClaimWaiter> waiters = new LinkedHashSet<>();
  private final Set<ClaimId> settling = new HashSet<>();
  private List<ClaimId> orphanedClaims = new ArrayList<>();
  private boolean claimsChanged;

  ClaimManager(RequestDependencies dependencies) {
    this.appender = dependencies.appender();
    this.evaluator = new ClaimEvaluator(dependencies.agreed());
    this.timers = dependencies.timers();
    this.self = dependencies.self();
    this.metrics = dependencies.metrics();
  }

  /** Returns the number of settlements in progress. */
  synchronized int pendingSettlements() {
    return settling.size();
  }

  /**
   * Claims a key, or returns the outcome of the request that claimed it earlier.
   *
   * @param deadlineMilliseconds monotonic time of the caller's timeout
   */
  CompletableFuture<ClaimDecision> claim(ClaimId id, String digest, long deadlineMilliseconds) {
    ClaimWaiter waiter = new ClaimWaiter(id, digest, deadlineMilliseconds);
    decide(waiter);
    return waiter.decision;
  }

  /** Settles this entry's claim with the outcome returned to the caller. */
  void settle(ClaimId id, CallerOutcome outcome) {
    settleOnce(id, settlement(id, outcome));
  }

  @Override
  public void recordApplied(long offset, LogRecord record, ApplyResult result) {
    if (record.hasIdempotencySettled()) {
      markClaimsChanged();
    }
    if (record.hasIdempotencyClaimed()
        && record.getWriter().equals(self.value())
        && result instanceof ApplyResult.Accepted
        && !appender.isPending(record.getRecordId())) {
      addOrphan(record.getIdempotencyClaimed());
    }
  }

  @Override
  public void memberRemoved(Incarnation incarnation) {
    markClaimsChanged();
  }

  @Override
  public void stateReplaced() {
    markClaimsChanged();
  }

  @Override
  public void afterApply() {
    List<ClaimId> orphans;
    List<ClaimWaiter> waiting = List.of();
    synchronized (this) {
      orphans = orphanedClaims;
      orphanedClaims = new ArrayList<>();
      if (claimsChanged) {
        waiting = List.copyOf(waiters);
        waiters.clear();
        claimsChanged = false;
      }
    }
    for (ClaimId id : orphans) {
      settleAsNotRun(id);
    }
    for (ClaimWaiter waiter : waiting) {
      decide(waiter);
    }
  }

  private synchronized void markClaimsChanged() {
    claimsChanged = true;
  }

  private synchronized void addOrphan(IdempotencyClaimed claim) {
    orphanedClaims.add(
        new ClaimId(new TeamId(claim.getTeam()), new IdempotencyKey(claim.getIdempotencyKey())));
  }

  /** Decides on a waiter that is not in the set, so that no other thread can access it. */
  private void decide(ClaimWaiter waiter) {
    Optional<ClaimImage> claim = evaluator.claim(waiter.id);
    if (claim.isEmpty()) {
      appendClaim(waiter);
      return;
    }
    Optional<CallerOutcome> outcome = evaluator.outcome(waiter.id, claim.get(), waiter.digest);
    if (outcome.isPresent()) {
      waiter.completeWith(outcome.get());
      return;
    }
    await(waiter);
  }

  private void await(ClaimWaiter waiter) {
    long remainingMilliseconds = waiter.deadlineMilliseconds - timers.monotonicMilliseconds();
    if (remainingMilliseconds <= 0) {
      waiter.timeOut();
      return;
    }
    if (!waiter.timerScheduled) {
      waiter.timerScheduled = true;
      Timers.Cancellation deadline =
          timers.schedule(Duration.ofMillis(remainingMilliseconds), () -> timeOut(waiter));
      waiter.decision.thenAccept(decision -> deadline.cancel());
    }
    synchronized (this) {
      waiters.add(waiter);
    }
    decideAgainIfChanged(waiter);
  }

  /** Decides again if records were applied between the decision and the addition of the waiter. */
  private void decideAgainIfChanged(ClaimWaiter waiter) {
    Optional<ClaimImage> claim = evaluator.claim(waiter.id);
    boolean isOpen =
        claim.isPresent() && evaluator.outcome(waiter.id, claim.get(), waiter.digest).isEmpty();
    if (!isOpen && removeWaiter(waiter)) {
      decide(waiter);
    }
  }

  private synchronized boolean removeWaiter(ClaimWaiter waiter) {
    return waiters.remove(waiter);
  }

  private void timeOut(ClaimWaiter waiter) {
    if (removeWaiter(waiter)) {
      waiter.timeOut();
    }
  }

  private void appendClaim(ClaimWaiter waiter) {
    long remainingMilliseconds = waiter.deadlineMilliseconds - timers.monotonicMilliseconds();
    if (remainingMilliseconds <= 0) {
      waiter.refuse(ErrorReport.of(ErrorCode.DEADLINE_PASSED, 0));
      return;
    }
    IdempotencyClaimed claim =
        IdempotencyClaimed.newBuilder()
            .setTeam(waiter.id.team().value())
            .setIdempotencyKey(waiter.id.key().value())
            .setIncarnation(self.value())
            .setRequestDigest(waiter.digest)
            .build();
    metrics.counter("claims.appended").inc();
    appender
        .append(LogRecord.newBuilder().setIdempotencyClaimed(claim), remainingMilliseconds)
        .thenAccept(outcome -> handleAppendOutcome(waiter, outcome));
  }

  private void handleAppendOutcome(ClaimWaiter waiter, AppendOutcome outcome) {
    switch (outcome) {
      case AppendOutcome.Applied(long offset, ApplyResult.Accepted accepted) ->
          waiter.decision.complete(new ClaimDecision.Granted());
      case AppendOutcome.Applied(long offset, ApplyResult.Refused(ErrorReport report)) ->
          handleRefusal(waiter, report);
      case AppendOutcome.Applied applied ->
          waiter.refuse(ErrorReport.of(ErrorCode.LOG_UNAVAILABLE, "the claim was not applied"));
      case AppendOutcome.NotAppended(String detail) ->
          waiter.refuse(ErrorReport.of(ErrorCode.LOG_UNAVAILABLE, detail));
      case AppendOutcome.Unknown(String detail) -> {
        waiter.refuse(ErrorReport.of(ErrorCode.LOG_UNAVAILABLE, detail));
        settleAsNotRun(waiter.id);
      }
    }
  }

  private void handleRefusal(ClaimWaiter waiter, ErrorReport report) {
    boolean claimExists =
        report.code() == ErrorCode.CLAIM_TAKEN || report.code() == ErrorCode.CLAIM_OTHER_REQUEST;
    if (claimExists) {
      decide(waiter);
      return;
    }
    waiter.refuse(report);
  }

  /** Settles a claim of this entry whose request was refused before its claim was read back. */
  private void settleAsNotRun(ClaimId id) {
    CallerOutcome notRun =
        new CallerOutcome.NotRun(
            ErrorReport.of(ErrorCode.LOG_UNAVAILABLE, "the claim was read back too late"));
    settleOnce(id, settlement(id, notRun));
  }

  private void settleOnce(ClaimId id, IdempotencySettled settlement) {
    synchronized (this) {
      if (!settling.add(id)) {
        return;
      }
    }
    if (!isOwnAndOpen(id)) {
      finishSettling(id);
      return;
    }
    appender
        .append(
            LogRecord.newBuilder().setIdempotencySettled(settlement), SETTLE_TIMEOUT_MILLISECONDS)
        .thenAccept(outcome -> handleSettled(id, outcome));
  }

  private void handleSettled(ClaimId id, AppendOutcome outcome) {
    finishSettling(id);
    if (!(outcome instanceof AppendOutcome.Applied)) {
      metrics.counter("claims.settlements_lost").inc();
      logger.atWarning().log("event=claim_not_settled team=%s key=%s", id.team(), id.key());
    }
  }

  private boolean isOwnAndOpen(ClaimId id) {
    Optional<ClaimImage> claim = evaluator.claim(id);
    return claim.isPresent()
        && !claim.get().hasSettled()
        && claim.get().getClaim().getIncarnation().equals(self.value());
  }

  private synchronized void finishSettling(ClaimId id) {
    settling.remove(id);
  }

  private IdempotencySettled settlement(ClaimId id, CallerOutcome outcome) {
    IdempotencySettled.Builder settled =
        IdempotencySettled.newBuilder()
            .setTeam(id.team().value())
            .setIdempotencyKey(id.key().value())
            .setIncarnation(self.value());
    return switch (outcome) {
      case CallerOutcome.NotRun notRun -> settled.setOutcome(Outcome.OUTCOME_NOT_RUN).build();
      case CallerOutcome.Unknown unknown -> settled.setOutcome(Outcome.OUTCOME_UNKNOWN).build();
      case CallerOutcome.Answered answered -> storeResponse(settled, answered).build();
    };
  }

  private static IdempotencySettled.Builder storeResponse(
      IdempotencySettled.Builder settled, CallerOutcome.Answered answered) {
    settled.setOutcome(Outcome.OUTCOME_ANSWERED);
    if (answered.body().length > MAXIMUM_STORED_BODY_BYTES) {
      return settled;
    }
    for (HeaderField header : answered.headers()) {
      if (header.name().equalsIgnoreCase("Content-Type")) {
        settled.setAnswerContentType(header.value());
      }
    }
    return settled
        .setAnswerKept(true)
        .setAnswerStatus(answered.status())
        .setAnswerBody(ByteString.copyFrom(answered.body()));
  }

  /** A request waiting for the decision on its idempotency key. */
  private static final class ClaimWaiter {
    private final ClaimId id;
    private final String digest;
    private final long deadlineMilliseconds;
    private final CompletableFuture<ClaimDecision> decision = new CompletableFuture<>();
    private boolean timerScheduled;

    private ClaimWaiter(ClaimId id, String digest, long deadlineMilliseconds) {
      this.id = id;
      this.digest = digest;
      this.deadlineMilliseconds = deadlineMilliseconds;
    }

    private void completeWith(CallerOutcome outcome) {
      decision.complete(new ClaimDecision.Ended(outcome));
    }

    private void timeOut() {
      completeWith(
          new CallerOutcome.Unknown(
              ErrorReport.of(ErrorCode.CLAIM_TAKEN, id.key(), id.team(), "another request")));
    }

    private void refuse(ErrorReport report) {
      completeWith(new CallerOutcome.NotRun(report));
    }
  }
}
