package org.flamingochute.decision.agreement;

import java.util.Optional;
import java.util.function.Supplier;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.fleet.PoolKinds;
import org.flamingochute.decision.identity.Identifiers;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.WaveId;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.InstanceImage;
import org.flamingochute.schema.InstanceMoved;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.InstanceStepDone;
import org.flamingochute.schema.InstanceStopRequested;
import org.flamingochute.schema.PoolSection;
import org.flamingochute.schema.StopPurpose;
import org.flamingochute.schema.StopStep;

/**
 * Applies planned stops and moves of instances.
 *
 * <p>A stop goes through its steps in order: drained, rebooted, returned for a reboot; drained,
 * moved, returned for a move; drained, retired for a retirement. {@code STOP_FAILED} ends it after
 * any step, and {@code STOP_WITHDRAWN} before the first. The instance counts as stopped from the
 * accepted request until the last step.
 */
final class StopRecordApplier {

  private final InstanceTable instances;
  private final WaveTable waves;
  private final Supplier<FleetDescription> description;

  StopRecordApplier(
      InstanceTable instances, WaveTable waves, Supplier<FleetDescription> description) {
    this.instances = instances;
    this.waves = waves;
    this.description = description;
  }

  /** Takes an instance out of service if its wave and the limits of its pool allow it. */
  ApplyResult requestStop(InstanceStopRequested request, ApplyPosition position) {
    Optional<ApplyResult> invalid = checkFields(request, position);
    if (invalid.isPresent()) {
      return invalid.get();
    }
    InstanceId id = new InstanceId(request.getInstance());
    Optional<InstanceImage> instance = instances.instance(id);
    if (instance.isEmpty() || isGone(instance.get())) {
      return ApplyResults.refused(ErrorCode.INSTANCE_UNKNOWN, id);
    }
    Optional<ErrorReport> refusal = refusal(request, id, instance.get());
    if (refusal.isPresent()) {
      return new ApplyResult.Refused(refusal.get());
    }
    instances.changeInstance(
        id,
        known ->
            known.toBuilder()
                .setStop(request)
                .setLastStep(StopStep.STOP_STEP_UNSPECIFIED)
                .setStopMilliseconds(position.timeMilliseconds())
                .build());
    return ApplyResults.accepted();
  }

  private static Optional<ApplyResult> checkFields(
      InstanceStopRequested request, ApplyPosition position) {
    boolean hasPurpose =
        switch (request.getPurpose()) {
          case STOP_FOR_REBOOT, STOP_FOR_MOVE, STOP_FOR_RETIREMENT -> true;
          case STOP_PURPOSE_UNSPECIFIED, UNRECOGNIZED -> false;
        };
    return new RecordFieldValidator(position)
        .requireIdentifier("operation", request.getOperation())
        .requireIdentifier("instance", request.getInstance())
        .requireIdentifier("pool", request.getPool())
        .requireOptionalIdentifier("wave", request.getWave())
        .requireOptionalIdentifier("target_pool", request.getTargetPool())
        .require("purpose", request.getPurposeValue(), hasPurpose, "unknown purpose")
        .refusal();
  }

  private static boolean isGone(InstanceImage instance) {
    return instance.getObserved().getState() == InstanceState.INSTANCE_GONE;
  }

  private Optional<ErrorReport> refusal(
      InstanceStopRequested request, InstanceId id, InstanceImage instance) {
    if (instance.hasStop()) {
      return Optional.of(
          ErrorReport.of(ErrorCode.INSTANCE_BUSY, id, instance.getStop().getOperation()));
    }
    if (!instance.getPool().equals(request.getPool())) {
      return Optional.of(
          ErrorReport.of(ErrorCode.INSTANCE_WRONG_POOL, id, instance.getPool(), request.getPool()));
    }
    FleetDescription fleet = description.get();
    PoolSection pool = fleet.getPoolsMap().get(request.getPool());
    if (pool == null) {
      return poolUnsuitable(request.getPool(), "it is not part of the fleet description");
    }
    if (request.getPurpose() == StopPurpose.STOP_FOR_MOVE) {
      Optional<ErrorReport> targetRefusal = targetRefusal(request, instance);
      if (targetRefusal.isPresent()) {
        return targetRefusal;
      }
    }
    if (!request.getWave().isEmpty()) {
      Optional<ErrorReport> waveRefusal = waves.refusal(fleet, new WaveId(request.getWave()), id);
      if (waveRefusal.isPresent()) {
        return waveRefusal;
      }
    }
    return InstanceStopGuard.refusal(
        pool,
        request.getPool(),
        instances.presentInstances(new PoolId(request.getPool())),
        instance);
  }

  private Optional<ErrorReport> targetRefusal(
      InstanceStopRequested request, InstanceImage instance) {
    String target = request.getTargetPool();
    PoolSection pool = description.get().getPoolsMap().get(target);
    if (pool == null) {
      return poolUnsuitable(target, "it is not part of the fleet description");
    }
    if (target.equals(request.getPool())) {
      return poolUnsuitable(target, "the instance belongs to it already");
    }
    if (!PoolKinds.isCompatible(instance.getObserved().getKind(), pool.getKind())) {
      return poolUnsuitable(target, "its instances are of kind " + pool.getKind());
    }
    return Optional.empty();
  }

  private static Optional<ErrorReport> poolUnsuitable(String pool, String reason) {
    return Optional.of(ErrorReport.of(ErrorCode.POOL_UNSUITABLE, pool, reason));
  }

  /** Applies a step of a stop; the last step ends the stop. */
  ApplyResult recordStep(InstanceStepDone done, ApplyPosition position) {
    Optional<InstanceImage> stoppedInstance =
        findStoppedInstance(done.getInstance(), done.getOperation());
    if (stoppedInstance.isEmpty()) {
      return ApplyResults.refused(
          ErrorCode.OPERATION_UNKNOWN, done.getOperation(), done.getInstance());
    }
    InstanceImage instance = stoppedInstance.get();
    if (!isNextStep(instance, done.getStep())) {
      return ApplyResults.refused(
          ErrorCode.STEP_OUT_OF_ORDER,
          done.getOperation(),
          done.getStepValue(),
          instance.getLastStep());
    }
    InstanceId id = new InstanceId(done.getInstance());
    switch (done.getStep()) {
      case STOP_RETURNED -> finishStop(id, instance, position);
      case STOP_RETIRED -> {
        finishStop(id, instance, position);
        instances.markRetired(id, position);
      }
      case STOP_WITHDRAWN -> instances.changeInstance(id, known -> withoutStop(known).build());
      case STOP_FAILED -> failStop(id, instance, done.getDetail());
      default ->
          instances.changeInstance(
              id, known -> known.toBuilder().setLastStep(done.getStep()).build());
    }
    return ApplyResults.accepted();
  }

  private Optional<InstanceImage> findStoppedInstance(String instanceName, String operation) {
    if (!Identifiers.isValid(instanceName)) {
      return Optional.empty();
    }
    return instances
        .instance(new InstanceId(instanceName))
        .filter(InstanceImage::hasStop)
        .filter(instance -> instance.getStop().getOperation().equals(operation));
  }

  private static boolean isNextStep(InstanceImage instance, StopStep step) {
    StopStep last = instance.getLastStep();
    StopPurpose purpose = instance.getStop().getPurpose();
    boolean isDrained = last == StopStep.STOP_DRAINED;
    return switch (step) {
      case STOP_DRAINED -> last == StopStep.STOP_STEP_UNSPECIFIED;
      case STOP_REBOOTED -> isDrained && purpose == StopPurpose.STOP_FOR_REBOOT;
      case STOP_RETIRED -> isDrained && purpose == StopPurpose.STOP_FOR_RETIREMENT;
      case STOP_RETURNED -> last == StopStep.STOP_REBOOTED || (isDrained && wasMoved(instance));
      case STOP_WITHDRAWN -> last == StopStep.STOP_STEP_UNSPECIFIED;
      case STOP_FAILED -> true;
      case STOP_STEP_UNSPECIFIED, UNRECOGNIZED -> false;
    };
  }

  private static boolean wasMoved(InstanceImage instance) {
    InstanceStopRequested stop = instance.getStop();
    return stop.getPurpose() == StopPurpose.STOP_FOR_MOVE
        && instance.getPool().equals(stop.getTargetPool());
  }

  private void finishStop(InstanceId id, InstanceImage instance, ApplyPosition position) {
    instances.changeInstance(
        id,
        known ->
            withoutStop(known)
                .clearFailedJobs()
                .setLastMaintainedMilliseconds(position.timeMilliseconds())
                .build());
    waveOf(instance).ifPresent(wave -> waves.recordFinished(wave, id));
  }

  private void failStop(InstanceId id, InstanceImage instance, String detail) {
    instances.changeInstance(id, known -> withoutStop(known).build());
    waveOf(instance).ifPresent(wave -> waves.recordFailed(wave, id, detail));
  }

  private static InstanceImage.Builder withoutStop(InstanceImage instance) {
    return instance.toBuilder().clearStop().clearLastStep().clearStopMilliseconds();
  }

  private Optional<WaveId> waveOf(InstanceImage instance) {
    String wave = instance.getStop().getWave();
    if (!description.get().containsWaves(wave)) {
      return Optional.empty();
    }
    return Optional.of(new WaveId(wave));
  }

  /** Moves a drained instance to the target pool of its stop. */
  ApplyResult moveInstance(InstanceMoved moved) {
    Optional<InstanceImage> stoppedInstance =
        findStoppedInstance(moved.getInstance(), moved.getOperation());
    if (stoppedInstance.isEmpty()) {
      return ApplyResults.refused(
          ErrorCode.OPERATION_UNKNOWN, moved.getOperation(), moved.getInstance());
    }
    InstanceImage instance = stoppedInstance.get();
    if (!instance.getPool().equals(moved.getFromPool())) {
      return ApplyResults.refused(
          ErrorCode.INSTANCE_WRONG_POOL,
          moved.getInstance(),
          instance.getPool(),
          moved.getFromPool());
    }
    boolean isPlanned =
        instance.getStop().getPurpose() == StopPurpose.STOP_FOR_MOVE
            && instance.getStop().getTargetPool().equals(moved.getToPool())
            && description.get().containsPools(moved.getToPool());
    if (!isPlanned) {
      return ApplyResults.refused(
          ErrorCode.POOL_UNSUITABLE,
          moved.getToPool(),
          "the stop was not requested for a move to it");
    }
    if (instance.getLastStep() != StopStep.STOP_DRAINED) {
      return ApplyResults.refused(
          ErrorCode.STEP_OUT_OF_ORDER, moved.getOperation(), "MOVED", instance.getLastStep());
    }
    instances.changeInstance(
        new InstanceId(moved.getInstance()),
        known -> known.toBuilder().setPool(moved.getToPool()).build());
    return ApplyResults.accepted();
  }
}
