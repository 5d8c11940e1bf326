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

/** Hands each kind of record to the tables that it concerns. */
final class RecordFolder {

  private final StateTables tables;
  private final AgreementListener listener;
  private final PatchFolder patches;
  private final JobFolder jobs;
  private final AttemptEndFolder attemptEnds;
  private final StopFolder stops;

  RecordFolder(StateTables tables, AgreementListener listener) {
    this.tables = tables;
    this.listener = listener;
    this.patches = new PatchFolder(tables.instances(), tables.jobs(), tables.audit());
    this.jobs =
        new JobFolder(
            tables.jobs(),
            tables.placers(),
            tables.members(),
            tables.instances(),
            tables.escrows(),
            tables::description);
    this.attemptEnds =
        new AttemptEndFolder(tables.jobs(), tables.placers(), tables.instances(), tables.escrows());
    this.stops = new StopFolder(tables.instances(), tables.waves(), tables::description);
  }

  /** Folds a record whose body is known and whose id is new. */
  FoldResult fold(LogRecord record, FoldPosition position) {
    return switch (record.getBodyCase()) {
      case PATCH -> patch(record.getPatch(), position);
      case MEMBER_JOINED -> memberJoined(record.getMemberJoined(), position);
      case MEMBER_LEFT -> memberRemoved(record.getMemberLeft().getIncarnation(), position, 0);
      case MEMBER_GONE ->
          memberRemoved(
              record.getMemberGone().getIncarnation(),
              position,
              position.after(tables.holdBack().milliseconds(position)));
      case HOLDINGS_STATED -> holdingsStated(record.getHoldingsStated(), position);
      case IDEMPOTENCY_CLAIMED -> claimed(record.getIdempotencyClaimed(), position);
      case IDEMPOTENCY_SETTLED -> settled(record.getIdempotencySettled(), position);
      case JOB_SUBMITTED -> jobs.submit(record.getJobSubmitted(), position);
      case JOBS_CANCELLED -> jobs.cancel(record.getJobsCancelled(), position);
      case JOB_ATTEMPT_STARTED -> jobs.start(record.getJobAttemptStarted());
      case JOB_ATTEMPT_ENDED -> attemptEnds.end(record.getJobAttemptEnded(), position);
      case JOB_PARKED -> jobs.park(record.getJobParked(), position);
      case PLACER_CLAIMED -> placerClaimed(record.getPlacerClaimed(), position);
      case INSTANCE_OBSERVED -> instanceObserved(record.getInstanceObserved(), position);
      case INSTANCE_STOP_REQUESTED -> stops.request(record.getInstanceStopRequested(), position);
      case INSTANCE_STEP_DONE -> stops.step(record.getInstanceStepDone(), position);
      case INSTANCE_MOVED -> stops.move(record.getInstanceMoved());
      case TICK, SNAPSHOT_PART, BODY_NOT_SET -> FoldResults.accepted();
    };
  }

  private FoldResult patch(FleetPatch patch, FoldPosition position) {
    Optional<FoldResult> invalid =
        new FieldCheck(position)
            .identifier("patch_id", patch.getPatchId())
            .identifier("operator_name", patch.getOperatorName())
            .refusal();
    if (invalid.isPresent()) {
      return invalid.get();
    }
    if (patches.isRepeated(patch)) {
      return new FoldResult.Duplicate();
    }
    FleetDescription before = tables.description();
    Either<ErrorReport, FleetDescription> result = patches.fold(before, patch, position);
    if (result.isLeft()) {
      return new FoldResult.Refused(result.getLeft());
    }
    replaceDescription(before, result.get(), position);
    return FoldResults.accepted();
  }

  private void replaceDescription(
      FleetDescription before, FleetDescription after, FoldPosition position) {
    tables.setDescription(after);
    tables.holdBack().descriptionChanged(after, position);
    listener.descriptionChanged(before, after);
    tables.escrows().descriptionChanged(after, position);
    tables.waves().descriptionChanged(before, after);
    jobs.teamsRemoved(before, after, position);
  }

  private FoldResult memberJoined(MemberJoined joined, FoldPosition position) {
    Optional<FoldResult> invalid =
        new FieldCheck(position)
            .identifier("incarnation", joined.getIncarnation())
            .identifier("instance", joined.getInstance())
            .refusal();
    if (invalid.isPresent()) {
      return invalid.get();
    }
    FoldResult result = tables.members().join(joined, position);
    if (result instanceof FoldResult.Accepted) {
      listener.memberJoined(new Incarnation(joined.getIncarnation()));
    }
    return result;
  }

  private FoldResult memberRemoved(String name, FoldPosition position, long notBefore) {
    Optional<FoldResult> invalid =
        new FieldCheck(position).identifier("incarnation", name).refusal();
    if (invalid.isPresent()) {
      return invalid.get();
    }
    Incarnation incarnation = new Incarnation(name);
    FoldResult result = tables.members().remove(incarnation, position);
    if (result instanceof FoldResult.Accepted) {
      // The epoch opens first: a ledger forgets the member's transfers only when they are void.
      tables.escrows().memberRemoved(position, notBefore);
      listener.memberRemoved(incarnation);
      tables.claims().memberRemoved(incarnation);
    }
    return result;
  }

  private FoldResult holdingsStated(HoldingsStated statement, FoldPosition position) {
    return requireMember(statement.getIncarnation(), position)
        .orElseGet(() -> tables.escrows().state(statement));
  }

  private Optional<FoldResult> requireMember(String incarnation, FoldPosition position) {
    Optional<FoldResult> invalid =
        new FieldCheck(position).identifier("incarnation", incarnation).refusal();
    if (invalid.isPresent()) {
      return invalid;
    }
    if (!tables.members().isMember(new Incarnation(incarnation))) {
      return Optional.of(FoldResults.refused(ErrorCode.NOT_A_MEMBER, incarnation));
    }
    return Optional.empty();
  }

  private FoldResult claimed(IdempotencyClaimed claim, FoldPosition position) {
    Optional<FoldResult> invalid =
        new FieldCheck(position)
            .identifier("team", claim.getTeam())
            .identifier("idempotency_key", claim.getIdempotencyKey())
            .refusal()
            .or(() -> requireMember(claim.getIncarnation(), position));
    if (invalid.isPresent()) {
      return invalid.get();
    }
    if (!tables.description().containsTeams(claim.getTeam())) {
      return FoldResults.refused(ErrorCode.TEAM_UNKNOWN, claim.getTeam());
    }
    return tables.claims().claim(claim, position);
  }

  private FoldResult settled(IdempotencySettled settled, FoldPosition position) {
    boolean isOutcome =
        switch (settled.getOutcome()) {
          case OUTCOME_ANSWERED, OUTCOME_NOT_RUN, OUTCOME_UNKNOWN -> true;
          case OUTCOME_UNSPECIFIED, UNRECOGNIZED -> false;
        };
    return new FieldCheck(position)
        .identifier("team", settled.getTeam())
        .identifier("idempotency_key", settled.getIdempotencyKey())
        .require("outcome", settled.getOutcomeValue(), isOutcome, "unknown outcome")
        .refusal()
        .orElseGet(() -> tables.claims().settle(settled));
  }

  private FoldResult placerClaimed(PlacerClaimed claim, FoldPosition position) {
    Optional<FoldResult> invalid =
        new FieldCheck(position)
            .identifier("pool", claim.getPool())
            .refusal()
            .or(() -> requireMember(claim.getIncarnation(), position));
    if (invalid.isPresent()) {
      return invalid.get();
    }
    PoolId pool = new PoolId(claim.getPool());
    boolean isKnown =
        pool.equals(PlacerTable.MAINTENANCE) || tables.description().containsPools(pool.value());
    if (!isKnown) {
      return FoldResults.refused(
          ErrorCode.POOL_UNSUITABLE, pool, "it is not part of the fleet description");
    }
    return tables.placers().claim(claim);
  }

  private FoldResult instanceObserved(InstanceObserved observed, FoldPosition position) {
    boolean isState =
        observed.getState() != InstanceState.INSTANCE_STATE_UNSPECIFIED
            && observed.getState() != InstanceState.UNRECOGNIZED;
    return new FieldCheck(position)
        .identifier("instance", observed.getInstance())
        .optionalIdentifier("first_pool", observed.getFirstPool())
        .require("state", observed.getStateValue(), isState, "unknown state")
        .refusal()
        .orElseGet(() -> tables.instances().observe(observed, position));
  }
}
