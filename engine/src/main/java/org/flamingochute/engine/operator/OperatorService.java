package org.flamingochute.engine.operator;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.agreement.ApplyResult;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.fleet.KeyDigest;
import org.flamingochute.decision.fleet.OperatorRights;
import org.flamingochute.decision.identity.Identifiers;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.OperatorId;
import org.flamingochute.engine.log.AppendOutcome;
import org.flamingochute.engine.log.LogAppender;
import org.flamingochute.engine.request.KeyDirectoryCache;
import org.flamingochute.schema.AuditEntry;
import org.flamingochute.schema.FleetPatch;
import org.flamingochute.schema.LogRecord;

/**
 * Authorizes operators and applies their patches through the log.
 *
 * <p>A patch that the audit trail lists as accepted under its id and operator is not appended
 * again, so that an operator may repeat a patch whose response was lost. Until there is a fleet
 * description, the operator named bootstrap may apply patches with the key whose digest is in the
 * settings.
 */
public final class OperatorService {

  private static final long APPEND_TIMEOUT_MILLISECONDS = 10_000;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AgreedView agreed;
  private final KeyDirectoryCache keys;
  private final LogAppender appender;
  private final String bootstrapDigest;
  private final Incarnation self;
  private final MetricRegistry metrics;
  private final AtomicLong patchCounter = new AtomicLong();

  /**
   * Creates the service.
   *
   * @param bootstrapDigest digest of the bootstrap operator's key; empty for none
   */
  public OperatorService(
      AgreedView agreed,
      KeyDirectoryCache keys,
      LogAppender appender,
      String bootstrapDigest,
      Incarnation self,
      MetricRegistry metrics) {
    this.agreed = agreed;
    this.keys = keys;
    this.appender = appender;
    this.bootstrapDigest = bootstrapDigest;
    this.self = self;
    this.metrics = metrics;
  }

  /** Checks that an operator may read. */
  public Either<ErrorReport, Void> authorize(String operator, String operatorKey) {
    if (isBootstrap(operator, operatorKey)) {
      return Either.right(null);
    }
    boolean isKnown =
        Identifiers.isValid(operator)
            && keys.directory().isOperator(new OperatorId(operator), operatorKey);
    if (!isKnown) {
      metrics.counter("operators.refused").inc();
      return Either.left(ErrorReport.of(ErrorCode.OPERATOR_UNKNOWN, operator));
    }
    return Either.right(null);
  }

  /** Applies a patch; completes with its audit entry, or with the reason why it was refused. */
  public CompletableFuture<Either<ErrorReport, AuditEntry>> patch(
      String operatorKey, FleetPatch patch) {
    Optional<ErrorReport> refusal = refusal(operatorKey, patch.getOperatorName());
    if (refusal.isPresent()) {
      logger.atWarning().log(
          "event=patch_not_allowed operator=%s patch=%s",
          patch.getOperatorName(), patch.getPatchId());
      return CompletableFuture.completedFuture(Either.left(refusal.get()));
    }
    FleetPatch identifiedPatch = withPatchId(patch);
    Optional<AuditEntry> acceptedEarlier = acceptedEntry(identifiedPatch);
    if (acceptedEarlier.isPresent()) {
      return CompletableFuture.completedFuture(Either.right(acceptedEarlier.get()));
    }
    metrics.counter("patches.received").inc();
    return appender
        .append(LogRecord.newBuilder().setPatch(identifiedPatch), APPEND_TIMEOUT_MILLISECONDS)
        .thenApply(outcome -> handleOutcome(identifiedPatch, outcome));
  }

  private Optional<ErrorReport> refusal(String operatorKey, String operator) {
    Either<ErrorReport, Void> authorization = authorize(operator, operatorKey);
    if (authorization.isLeft()) {
      return Optional.of(authorization.getLeft());
    }
    boolean mayPatch =
        isBootstrap(operator, operatorKey)
            || keys.directory().mayPatch(new OperatorId(operator), operatorKey);
    if (!mayPatch) {
      metrics.counter("operators.refused").inc();
      return Optional.of(ErrorReport.of(ErrorCode.OPERATOR_NOT_ALLOWED, operator));
    }
    return Optional.empty();
  }

  private boolean isBootstrap(String operator, String operatorKey) {
    return agreed.description().getVersion() == 0
        && !bootstrapDigest.isEmpty()
        && operator.equals(OperatorRights.BOOTSTRAP_OPERATOR)
        && new KeyDigest(bootstrapDigest).matches(KeyDigest.of(operatorKey));
  }

  private FleetPatch withPatchId(FleetPatch patch) {
    if (!patch.getPatchId().isEmpty()) {
      return patch;
    }
    return patch.toBuilder()
        .setPatchId("patch-" + self + "-" + patchCounter.incrementAndGet())
        .build();
  }

  private Either<ErrorReport, AuditEntry> handleOutcome(FleetPatch patch, AppendOutcome outcome) {
    Optional<AuditEntry> accepted = acceptedEntry(patch);
    if (accepted.isPresent()) {
      logger.atInfo().log(
          "event=patch_accepted operator=%s patch=%s version=%d",
          patch.getOperatorName(), patch.getPatchId(), accepted.get().getResultingVersion());
      return Either.right(accepted.get());
    }
    return Either.left(report(patch, outcome));
  }

  private static ErrorReport report(FleetPatch patch, AppendOutcome outcome) {
    return switch (outcome) {
      case AppendOutcome.Applied(long offset, ApplyResult.Refused(ErrorReport report)) -> report;
      case AppendOutcome.Applied(long offset, ApplyResult.Unreadable(ErrorReport report)) -> report;
      case AppendOutcome.Applied applied ->
          ErrorReport.of(ErrorCode.PATCH_REPEATED, patch.getPatchId());
      case AppendOutcome.NotAppended(String detail) ->
          ErrorReport.of(ErrorCode.LOG_UNAVAILABLE, detail);
      case AppendOutcome.Unknown(String detail) ->
          ErrorReport.of(ErrorCode.OUTCOME_UNKNOWN, detail);
    };
  }

  private Optional<AuditEntry> acceptedEntry(FleetPatch patch) {
    for (AuditEntry entry : agreed.audit()) {
      boolean isSamePatch =
          entry.getPatchId().equals(patch.getPatchId())
              && entry.getOperatorName().equals(patch.getOperatorName());
      if (isSamePatch && entry.getAccepted()) {
        return Optional.of(entry);
      }
    }
    return Optional.empty();
  }
}
