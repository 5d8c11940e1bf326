package org.flamingochute.decision.agreement;

import io.vavr.control.Either;
import java.util.Optional;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.FleetPatch;
import org.flamingochute.schema.HoldingsStated;
import org.flamingochute.schema.IdempotencyClaimed;
import org.flamingochute.schema.IdempotencySettled;
import org.flamingochute.schema.InstanceObserved;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.MemberJoined;
import org.flamingochute.schema.PlacerClaimed;

/** Validates each kind of record and applies it to the tables that it affects. */
final class RecordApplier {

  private final StateTables tables;
  private final AgreementListener listener;
  private final PatchApplier patchApplier;
  private final JobRecordApplier jobApplier;
  private final AttemptEndApplier attemptEndApplier;
  private final StopRecordApplier stopApplier;

  RecordApplier(StateTables tables, AgreementListener listener) {
    this.tables = tables;
    this.listener = listener;
    this.patchApplier = new PatchApplier(tables.instances(), tables.jobs(), tables.audit());
    this.jobApplier =
        new JobRecordApplier(
            tables.jobs(),
            tables.placers(),
            tables.members(),
            tables.instances(),
            tables.escrows(),
            tables::description);
    this.attemptEndApplier =
        new AttemptEndApplier(
            tables.jobs(), tables.placers(), tables.instances(), tables.escrows());
    this.stopApplier =
        new StopRecordApplier(tables.instances(), tables.waves(), tables::description);
  }

  /** Applies a record whose body is known and whose id is new. */
  ApplyResult apply(LogRecord record, ApplyPosition position) {
    return switch (record.getBodyCase()) {
      case PATCH -> applyPatch(record.getPatch(), position);
      case MEMBER_JOINED -> addMember(record.getMemberJoined(), position);
      case MEMBER_LEFT -> removeMember(record.getMemberLeft().getIncarnation(), position, 0);
      case MEMBER_GONE ->
          removeMember(
              record.getMemberGone().getIncarnation(),
              position,
              position.after(tables.reissueDelay().milliseconds(position)));
      case HOLDINGS_STATED -> acceptHoldings(record.getHoldingsStated(), position);
      case IDEMPOTENCY_CLAIMED -> claimIdempotencyKey(record.getIdempotencyClaimed(), position);
      case IDEMPOTENCY_SETTLED -> settleIdempotencyKey(record.getIdempotencySettled(), position);
      case JOB_SUBMITTED -> jobApplier.submit(record.getJobSubmitted(), position);
      case JOBS_CANCELLED -> jobApplier.cancel(record.getJobsCancelled(), position);
      case JOB_ATTEMPT_STARTED -> jobApplier.start(record.getJobAttemptStarted());
      case JOB_ATTEMPT_ENDED -> attemptEndApplier.end(record.getJobAttemptEnded(), position);
      case JOB_PARKED -> jobApplier.park(record.getJobParked(), position);
      case PLACER_CLAIMED -> claimPlacer(record.getPlacerClaimed(), position);
      case INSTANCE_OBSERVED -> observeInstance(record.getInstanceObserved(), position);
      case INSTANCE_STOP_REQUESTED ->
          stopApplier.requestStop(record.getInstanceStopRequested(), position);
      case INSTANCE_STEP_DONE -> stopApplier.recordStep(record.getInstanceStepDone(), position);
      case INSTANCE_MOVED -> stopApplier.moveInstance(record.getInstanceMoved());
      case TICK, SNAPSHOT_PART, BODY_NOT_SET -> ApplyResults.accepted();
    };
  }

  private ApplyResult applyPatch(FleetPatch patch, ApplyPosition position) {
    Optional<ApplyResult> invalid =
        new RecordFieldValidator(position)
            .requireIdentifier("patch_id", patch.getPatchId())
            .requireIdentifier("operator_name", patch.getOperatorName())
            .refusal();
    if (invalid.isPresent()) {
      return invalid.get();
    }
    if (patchApplier.isDuplicate(patch)) {
      return new ApplyResult.Duplicate();
    }
    FleetDescription before = tables.description();
    Either<ErrorReport, FleetDescription> result = patchApplier.apply(before, patch, position);
    if (result.isLeft()) {
      return new ApplyResult.Refused(result.getLeft());
    }
    replaceDescription(before, result.get(), position);
    return ApplyResults.accepted();
  }

  private void replaceDescription(
      FleetDescription before, FleetDescription after, ApplyPosition position) {
    tables.setDescription(after);
    tables.reissueDelay().descriptionChanged(after, position);
    listener.descriptionChanged(before, after);
    tables.escrows().descriptionChanged(after, position);
    tables.waves().descriptionChanged(before, after);
    jobApplier.parkJobsOfRemovedTeams(before, after, position);
  }

  private ApplyResult addMember(MemberJoined joined, ApplyPosition position) {
    Optional<ApplyResult> invalid =
        new RecordFieldValidator(position)
            .requireIdentifier("incarnation", joined.getIncarnation())
            .requireIdentifier("instance", joined.getInstance())
            .refusal();
    if (invalid.isPresent()) {
      return invalid.get();
    }
    ApplyResult result = tables.members().join(joined, position);
    if (result instanceof ApplyResult.Accepted) {
      listener.memberJoined(new Incarnation(joined.getIncarnation()));
    }
    return result;
  }

  private ApplyResult removeMember(String name, ApplyPosition position, long notBefore) {
    Optional<ApplyResult> invalid =
        new RecordFieldValidator(position).requireIdentifier("incarnation", name).refusal();
    if (invalid.isPresent()) {
      return invalid.get();
    }
    Incarnation incarnation = new Incarnation(name);
    ApplyResult result = tables.members().remove(incarnation, position);
    if (result instanceof ApplyResult.Accepted) {
      // The epoch must open first: it invalidates the member's transfers before a ledger drops the
      // sequence numbers that it has received from the member. Otherwise a repeated transfer could
      // be credited a second time.
      tables.escrows().memberRemoved(position, notBefore);
      listener.memberRemoved(incarnation);
      tables.claims().memberRemoved(incarnation);
    }
    return result;
  }

  private ApplyResult acceptHoldings(HoldingsStated statement, ApplyPosition position) {
    return requireMember(statement.getIncarnation(), position)
        .orElseGet(() -> tables.escrows().acceptStatement(statement));
  }

  private Optional<ApplyResult> requireMember(String incarnation, ApplyPosition position) {
    Optional<ApplyResult> invalid =
        new RecordFieldValidator(position).requireIdentifier("incarnation", incarnation).refusal();
    if (invalid.isPresent()) {
      return invalid;
    }
    if (!tables.members().isMember(new Incarnation(incarnation))) {
      return Optional.of(ApplyResults.refused(ErrorCode.NOT_A_MEMBER, incarnation));
    }
    return Optional.empty();
  }

  private ApplyResult claimIdempotencyKey(IdempotencyClaimed claim, ApplyPosition position) {
    Optional<ApplyResult> invalid =
        new RecordFieldValidator(position)
            .requireIdentifier("team", claim.getTeam())
            .requireIdentifier("idempotency_key", claim.getIdempotencyKey())
            .refusal()
            .or(() -> requireMember(claim.getIncarnation(), position));
    if (invalid.isPresent()) {
      return invalid.get();
    }
    if (!tables.description().containsTeams(claim.getTeam())) {
      return ApplyResults.refused(ErrorCode.TEAM_UNKNOWN, claim.getTeam());
    }
    return tables.claims().claim(claim, position);
  }

  private ApplyResult settleIdempotencyKey(IdempotencySettled settled, ApplyPosition position) {
    boolean isKnownOutcome =
        switch (settled.getOutcome()) {
          case OUTCOME_ANSWERED, OUTCOME_NOT_RUN, OUTCOME_UNKNOWN -> true;
          case OUTCOME_UNSPECIFIED, UNRECOGNIZED -> false;
        };
    return new RecordFieldValidator(position)
        .requireIdentifier("team", settled.getTeam())
        .requireIdentifier("idempotency_key", settled.getIdempotencyKey())
        .require("outcome", settled.getOutcomeValue(), isKnownOutcome, "unknown outcome")
        .refusal()
        .orElseGet(() -> tables.claims().settle(settled));
  }

  private ApplyResult claimPlacer(PlacerClaimed claim, ApplyPosition position) {
    Optional<ApplyResult> invalid =
        new RecordFieldValidator(position)
            .requireIdentifier("pool", claim.getPool())
            .refusal()
            .or(() -> requireMember(claim.getIncarnation(), position));
    if (invalid.isPresent()) {
      return invalid.get();
    }
    PoolId pool = new PoolId(claim.getPool());
    boolean isKnown =
        pool.equals(PlacerTable.MAINTENANCE) || tables.description().containsPools(pool.value());
    if (!isKnown) {
      return ApplyResults.refused(
          ErrorCode.POOL_UNSUITABLE, pool, "it is not part of the fleet description");
    }
    return tables.placers().claim(claim);
  }

  private ApplyResult observeInstance(InstanceObserved observed, ApplyPosition position) {
    boolean isKnownState =
        observed.getState() != InstanceState.INSTANCE_STATE_UNSPECIFIED
            && observed.getState() != InstanceState.UNRECOGNIZED;
    return new RecordFieldValidator(position)
        .requireIdentifier("instance", observed.getInstance())
        .requireOptionalIdentifier("first_pool", observed.getFirstPool())
        .require("state", observed.getStateValue(), isKnownState, "unknown state")
        .refusal()
        .orElseGet(() -> tables.instances().observe(observed, position));
  }
}
