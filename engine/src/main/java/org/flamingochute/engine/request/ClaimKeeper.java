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
import org.flamingochute.decision.agreement.FoldResult;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.IdempotencyKey;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.engine.CallerOutcome;
import org.flamingochute.engine.log.AppendOutcome;
import org.flamingochute.engine.log.FoldReaction;
import org.flamingochute.engine.log.LogAppender;
import org.flamingochute.platform.HeaderField;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.ClaimImage;
import org.flamingochute.schema.IdempotencyClaimed;
import org.flamingochute.schema.IdempotencySettled;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.Outcome;

/**
 * Claims idempotency keys before dispatch, and settles the claims afterwards.
 *
 * <p>A request is dispatched only when its own claim record was read back as accepted. Each claim
 * is settled by one record only: a second one, coming late, could free a later claim of this entry
 * while its request runs. For the same reason a settlement is appended under one record id for as
 * long as it takes.
 *
 * <p>A claim whose append timed out may still reach the log. Its request was refused as not run, so
 * the claim is settled as not run when it is folded.
 *
 * <p>Example: two entries claim key k at once. The log has the claim of A first. A dispatches; B
 * reads its own claim as refused, waits until A's settlement is folded, and gives the kept answer.
 */
final class ClaimKeeper implements AgreementListener, FoldReaction {

  /** Largest answer body that is kept for repetitions, in bytes. */
  static final int MAXIMUM_KEPT_BYTES = 4096;

  private static final long SETTLE_MILLISECONDS = Duration.ofDays(1).toMillis();

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final LogAppender appender;
  private final ClaimJudge judge;
  private final Timers timers;
  private final Incarnation self;
  private final MetricRegistry metrics;
  private final Set<ClaimWaiter> waiters = new LinkedHashSet<>();
  private final Set<ClaimId> settling = new HashSet<>();
  private List<ClaimId> orphans = new ArrayList<>();
  private boolean claimsChanged;

  ClaimKeeper(RequestParts parts) {
    this.appender = parts.appender();
    this.judge = new ClaimJudge(parts.agreed());
    this.timers = parts.timers();
    this.self = parts.self();
    this.metrics = parts.metrics();
  }

  /** Returns the number of settlements that are not yet folded. */
  synchronized int unsettled() {
    return settling.size();
  }

  /**
   * Claims a key, or tells what became of the request that claimed it before.
   *
   * @param deadlineMilliseconds monotonic time at which the caller gives up
   */
  CompletableFuture<ClaimDecision> claim(ClaimId id, String digest, long deadlineMilliseconds) {
    ClaimWaiter waiter = new ClaimWaiter(id, digest, deadlineMilliseconds);
    decide(waiter);
    return waiter.decision;
  }

  /** Ends this entry's claim by what the caller is told. */
  void settle(ClaimId id, CallerOutcome outcome) {
    settleOnce(id, settlement(id, outcome));
  }

  @Override
  public void recordFolded(long offset, LogRecord record, FoldResult result) {
    if (record.hasIdempotencySettled()) {
      noteClaimsChanged();
    }
    if (record.hasIdempotencyClaimed()
        && record.getWriter().equals(self.value())
        && result instanceof FoldResult.Accepted
        && !appender.isPending(record.getRecordId())) {
      noteOrphan(record.getIdempotencyClaimed());
    }
  }

  @Override
  public void memberRemoved(Incarnation incarnation) {
    noteClaimsChanged();
  }

  @Override
  public void stateReplaced() {
    noteClaimsChanged();
  }

  @Override
  public void folded() {
    List<ClaimId> unclaimed;
    List<ClaimWaiter> waiting = List.of();
    synchronized (this) {
      unclaimed = orphans;
      orphans = new ArrayList<>();
      if (claimsChanged) {
        waiting = List.copyOf(waiters);
        waiters.clear();
        claimsChanged = false;
      }
    }
    for (ClaimId id : unclaimed) {
      abandon(id);
    }
    for (ClaimWaiter waiter : waiting) {
      decide(waiter);
    }
  }

  private synchronized void noteClaimsChanged() {
    claimsChanged = true;
  }

  private synchronized void noteOrphan(IdempotencyClaimed claim) {
    orphans.add(
        new ClaimId(new TeamId(claim.getTeam()), new IdempotencyKey(claim.getIdempotencyKey())));
  }

  /** Decides for a waiter that no other thread can reach now. */
  private void decide(ClaimWaiter waiter) {
    Optional<ClaimImage> claim = judge.claim(waiter.id);
    if (claim.isEmpty()) {
      appendClaim(waiter);
      return;
    }
    Optional<CallerOutcome> outcome = judge.outcome(waiter.id, claim.get(), waiter.digest);
    if (outcome.isPresent()) {
      waiter.end(outcome.get());
      return;
    }
    await(waiter);
  }

  private void await(ClaimWaiter waiter) {
    long left = waiter.deadlineMilliseconds - timers.monotonicMilliseconds();
    if (left <= 0) {
      waiter.giveUp();
      return;
    }
    if (!waiter.armed) {
      waiter.armed = true;
      Timers.Cancellation deadline = timers.schedule(Duration.ofMillis(left), () -> giveUp(waiter));
      waiter.decision.thenAccept(decision -> deadline.cancel());
    }
    synchronized (this) {
      waiters.add(waiter);
    }
    decideAgainIfChanged(waiter);
  }

  /** A fold between the decision and the registration of the waiter would go unnoticed. */
  private void decideAgainIfChanged(ClaimWaiter waiter) {
    Optional<ClaimImage> claim = judge.claim(waiter.id);
    boolean open =
        claim.isPresent() && judge.outcome(waiter.id, claim.get(), waiter.digest).isEmpty();
    if (!open && takeOver(waiter)) {
      decide(waiter);
    }
  }

  private synchronized boolean takeOver(ClaimWaiter waiter) {
    return waiters.remove(waiter);
  }

  private void giveUp(ClaimWaiter waiter) {
    if (takeOver(waiter)) {
      waiter.giveUp();
    }
  }

  private void appendClaim(ClaimWaiter waiter) {
    long left = waiter.deadlineMilliseconds - timers.monotonicMilliseconds();
    if (left <= 0) {
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
        .append(LogRecord.newBuilder().setIdempotencyClaimed(claim), left)
        .thenAccept(outcome -> takeAppended(waiter, outcome));
  }

  private void takeAppended(ClaimWaiter waiter, AppendOutcome outcome) {
    switch (outcome) {
      case AppendOutcome.Folded(long offset, FoldResult.Accepted accepted) ->
          waiter.decision.complete(new ClaimDecision.Granted());
      case AppendOutcome.Folded(long offset, FoldResult.Refused(ErrorReport report)) ->
          takeRefusal(waiter, report);
      case AppendOutcome.Folded folded ->
          waiter.refuse(ErrorReport.of(ErrorCode.LOG_UNAVAILABLE, "the claim was not folded"));
      case AppendOutcome.NotAppended(String detail) ->
          waiter.refuse(ErrorReport.of(ErrorCode.LOG_UNAVAILABLE, detail));
      case AppendOutcome.Unknown(String detail) -> {
        waiter.refuse(ErrorReport.of(ErrorCode.LOG_UNAVAILABLE, detail));
        abandon(waiter.id);
      }
    }
  }

  private void takeRefusal(ClaimWaiter waiter, ErrorReport report) {
    boolean taken =
        report.code() == ErrorCode.CLAIM_TAKEN || report.code() == ErrorCode.CLAIM_OTHER_REQUEST;
    if (taken) {
      decide(waiter);
      return;
    }
    waiter.refuse(report);
  }

  /** Settles a claim of this entry whose request was refused before the claim was read back. */
  private void abandon(ClaimId id) {
    CallerOutcome notRun =
        new CallerOutcome.NotRun(ErrorReport.of(ErrorCode.LOG_UNAVAILABLE, "claim read too late"));
    settleOnce(id, settlement(id, notRun));
  }

  private void settleOnce(ClaimId id, IdempotencySettled settlement) {
    synchronized (this) {
      if (!settling.add(id)) {
        return;
      }
    }
    if (!isOwnAndOpen(id)) {
      endSettling(id);
      return;
    }
    appender
        .append(LogRecord.newBuilder().setIdempotencySettled(settlement), SETTLE_MILLISECONDS)
        .thenAccept(outcome -> takeSettled(id, outcome));
  }

  private void takeSettled(ClaimId id, AppendOutcome outcome) {
    endSettling(id);
    if (!(outcome instanceof AppendOutcome.Folded)) {
      metrics.counter("claims.settlements_lost").inc();
      logger.atWarning().log("event=claim_not_settled team=%s key=%s", id.team(), id.key());
    }
  }

  private boolean isOwnAndOpen(ClaimId id) {
    Optional<ClaimImage> claim = judge.claim(id);
    return claim.isPresent()
        && !claim.get().hasSettled()
        && claim.get().getClaim().getIncarnation().equals(self.value());
  }

  private synchronized void endSettling(ClaimId id) {
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
      case CallerOutcome.Answered answered -> keep(settled, answered).build();
    };
  }

  private static IdempotencySettled.Builder keep(
      IdempotencySettled.Builder settled, CallerOutcome.Answered answered) {
    settled.setOutcome(Outcome.OUTCOME_ANSWERED);
    if (answered.body().length > MAXIMUM_KEPT_BYTES) {
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

  /** A request that waits for the decision on its key. */
  private static final class ClaimWaiter {
    private final ClaimId id;
    private final String digest;
    private final long deadlineMilliseconds;
    private final CompletableFuture<ClaimDecision> decision = new CompletableFuture<>();
    private boolean armed;

    private ClaimWaiter(ClaimId id, String digest, long deadlineMilliseconds) {
      this.id = id;
      this.digest = digest;
      this.deadlineMilliseconds = deadlineMilliseconds;
    }

    private void end(CallerOutcome outcome) {
      decision.complete(new ClaimDecision.Ended(outcome));
    }

    private void giveUp() {
      end(
          new CallerOutcome.Unknown(
              ErrorReport.of(ErrorCode.CLAIM_TAKEN, id.key(), id.team(), "another request")));
    }

    private void refuse(ErrorReport report) {
      end(new CallerOutcome.NotRun(report));
    }
  }
}
