package org.flamingochute.decision.agreement;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.fleet.FleetPatcher;
import org.flamingochute.decision.fleet.OperatorRights;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.schema.AuditEntry;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.FleetPatch;
import org.flamingochute.schema.PoolSection;

/**
 * Decides whether a patch takes effect, and records it in the audit trail.
 *
 * <p>The entry that received the patch checked the operator's key. The operator's right is checked
 * again here, at the current version, because another patch may have removed it in between.
 */
final class PatchApplier {

  private static final String ACCEPTED_RESULT = "accepted";
  private static final int MAXIMUM_AUDITED_ERRORS = 10;

  private final InstanceTable instances;
  private final JobTable jobs;
  private final AuditTrail audit;
  private final FleetPatcher patcher = new FleetPatcher();

  PatchApplier(InstanceTable instances, JobTable jobs, AuditTrail audit) {
    this.instances = instances;
    this.jobs = jobs;
    this.audit = audit;
  }

  /** Returns whether a patch with the same id, accepted or refused, is in the audit trail. */
  boolean isDuplicate(FleetPatch patch) {
    return audit.contains(patch.getPatchId());
  }

  /** Returns the patched description or the reason for a refusal, and audits the result. */
  Either<ErrorReport, FleetDescription> apply(
      FleetDescription description, FleetPatch patch, ApplyPosition position) {
    Either<List<ErrorReport>, FleetDescription> result = evaluate(description, patch);
    audit.add(auditEntry(patch, position, result));
    return result.mapLeft(errors -> errors.get(0));
  }

  private Either<List<ErrorReport>, FleetDescription> evaluate(
      FleetDescription description, FleetPatch patch) {
    if (!OperatorRights.mayPatch(description, patch.getOperatorName())) {
      return refused(ErrorReport.of(ErrorCode.OPERATOR_NOT_ALLOWED, patch.getOperatorName()));
    }
    if (patch.getBaseVersion() != description.getVersion()) {
      return refused(
          ErrorReport.of(
              ErrorCode.PATCH_STALE_BASE,
              patch.getPatchId(),
              patch.getBaseVersion(),
              description.getVersion()));
    }
    if (patch.getChangesCount() == 0) {
      return refused(ErrorReport.of(ErrorCode.PATCH_EMPTY, patch.getPatchId()));
    }
    return patcher.apply(description, patch).flatMap(after -> checkPools(description, after));
  }

  private static Either<List<ErrorReport>, FleetDescription> refused(ErrorReport report) {
    return Either.left(List.of(report));
  }

  /**
   * Refuses to remove a pool, or to change its kind, while it has instances or unfinished jobs or
   * an instance is being moved to it.
   */
  private Either<List<ErrorReport>, FleetDescription> checkPools(
      FleetDescription before, FleetDescription after) {
    List<ErrorReport> errors = new ArrayList<>();
    new TreeMap<>(before.getPoolsMap())
        .forEach(
            (name, pool) -> {
              PoolSection poolAfter = after.getPoolsMap().get(name);
              boolean hasSameKind = poolAfter != null && poolAfter.getKind().equals(pool.getKind());
              if (!hasSameKind) {
                checkPoolUnused(name, poolAfter == null ? "" : poolAfter.getKind(), errors);
              }
            });
    if (!errors.isEmpty()) {
      return Either.left(errors);
    }
    return Either.right(after);
  }

  private void checkPoolUnused(String name, String newKind, List<ErrorReport> errors) {
    PoolId pool = new PoolId(name);
    int count = instances.presentInstances(pool).size();
    if (count > 0) {
      addPoolInUse(name, newKind, count + " instances still belong to the pool", errors);
    }
    if (instances.isTargetOfMove(pool)) {
      addPoolInUse(name, newKind, "an instance is being moved to the pool", errors);
    }
    if (jobs.hasUnfinishedJobs(pool)) {
      addPoolInUse(name, newKind, "jobs of the pool wait or run", errors);
    }
  }

  private static void addPoolInUse(
      String pool, String newKind, String reason, List<ErrorReport> errors) {
    errors.add(ErrorReport.of(ErrorCode.FLEET_INVALID, "pool " + pool, "kind", newKind, reason));
  }

  private static AuditEntry auditEntry(
      FleetPatch patch,
      ApplyPosition position,
      Either<List<ErrorReport>, FleetDescription> result) {
    return AuditEntry.newBuilder()
        .setOffset(position.offset())
        .setTimeMilliseconds(position.timeMilliseconds())
        .setOperatorName(patch.getOperatorName())
        .setPatchId(patch.getPatchId())
        .setBaseVersion(patch.getBaseVersion())
        .setAccepted(result.isRight())
        .setResultingVersion(result.map(FleetDescription::getVersion).getOrElse(0L))
        .setResult(result.fold(PatchApplier::describe, after -> ACCEPTED_RESULT))
        .addAllChanges(patch.getChangesList())
        .setReason(patch.getReason())
        .build();
  }

  private static String describe(List<ErrorReport> errors) {
    return errors.stream()
        .limit(MAXIMUM_AUDITED_ERRORS)
        .map(ErrorReport::toString)
        .collect(Collectors.joining("; "));
  }
}
