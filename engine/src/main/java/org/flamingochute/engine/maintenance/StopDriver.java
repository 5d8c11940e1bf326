package org.flamingochute.engine.maintenance;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.agreement.InstanceStopGuard;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.OperationId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.engine.log.FreshnessMonitor;
import org.flamingochute.engine.log.LogAppender;
import org.flamingochute.platform.PlatformError;
import org.flamingochute.platform.PoolControl;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.InstanceImage;
import org.flamingochute.schema.InstanceMoved;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.InstanceStepDone;
import org.flamingochute.schema.InstanceStopRequested;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.PoolAction;
import org.flamingochute.schema.PoolOperation;
import org.flamingochute.schema.PoolOperationStatus;
import org.flamingochute.schema.PoolSection;
import org.flamingochute.schema.StopStep;

/**
 * Executes the steps of each granted stop. The next step follows from the agreed state alone, so
 * that another coordinator can continue where this one stopped.
 *
 * <p>The first step waits for the notice time, in which every entry either applies the stop or
 * becomes stale, and for the work in flight to end. Then the platform drains the instance. The
 * remaining steps are reboot and return for a reboot, the move record and return for a move, and
 * retire for a retirement. Each step is an idempotent platform operation, repeated until it is
 * reported as done, followed by a record.
 *
 * <p>A granted stop is withdrawn if the pool loses another instance before the drain and falls
 * below its minimum, so that a planned stop never aggravates a failure. Example: three workers A, B
 * and C, minimum 2; the stop of A is granted, then B fails. The stop of A is withdrawn, and A and C
 * stay in service.
 */
final class StopDriver {

  private static final long APPEND_TIMEOUT_MILLISECONDS = 5_000;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AgreedView agreed;
  private final LogAppender appender;
  private final PoolControl poolControl;
  private final InstanceWorkload workload;
  private final FreshnessMonitor freshness;
  private final Timers timers;
  private final MetricRegistry metrics;
  private final long noticeMilliseconds;
  private final Map<OperationId, FirstObservation> firstObservation = new HashMap<>();
  private final Set<InstanceId> stoppingInstances = new HashSet<>();
  private final Set<OperationId> operationsInProgress = new HashSet<>();

  StopDriver(MaintenanceDependencies dependencies) {
    this.agreed = dependencies.agreed();
    this.appender = dependencies.appender();
    this.poolControl = dependencies.poolControl();
    this.workload = dependencies.workload();
    this.freshness = dependencies.freshness();
    this.timers = dependencies.timers();
    this.metrics = dependencies.metrics();
    this.noticeMilliseconds = dependencies.noticeMilliseconds();
  }

  /** Executes the next step of every stop that is ready for it. */
  void advanceStops() {
    Set<OperationId> stopsInProgress = new HashSet<>();
    for (InstanceId id : stoppingInstances()) {
      Optional<InstanceImage> instance = agreed.instance(id).filter(InstanceImage::hasStop);
      if (instance.isPresent()) {
        stopsInProgress.add(new OperationId(instance.get().getStop().getOperation()));
        advance(instance.get());
      }
    }
    removeEndedStops(stopsInProgress);
  }

  /**
   * Returns the instances with a stop, including those that were found earlier and are listed as
   * gone during their reboot.
   */
  private synchronized Set<InstanceId> stoppingInstances() {
    stoppingInstances.removeIf(id -> agreed.instance(id).filter(InstanceImage::hasStop).isEmpty());
    for (InstanceImage instance : agreed.instances()) {
      if (instance.hasStop()) {
        stoppingInstances.add(new InstanceId(instance.getObserved().getInstance()));
      }
    }
    return Set.copyOf(stoppingInstances);
  }

  private void advance(InstanceImage instance) {
    OperationId operation = new OperationId(instance.getStop().getOperation());
    switch (instance.getLastStep()) {
      case STOP_STEP_UNSPECIFIED -> {
        if (!isBudgetKept(instance)) {
          perform(instance, PoolAction.POOL_RETURN, StopStep.STOP_WITHDRAWN);
        } else if (isNoticeOver(operation) && workload.inFlight(instance) == 0) {
          perform(instance, PoolAction.POOL_DRAIN, StopStep.STOP_DRAINED);
        }
      }
      case STOP_DRAINED -> advanceDrained(instance);
      case STOP_REBOOTED -> perform(instance, PoolAction.POOL_RETURN, StopStep.STOP_RETURNED);
      default -> {}
    }
  }

  /**
   * Returns whether the pool keeps its availability budget while the instance is out of service.
   */
  private boolean isBudgetKept(InstanceImage instance) {
    PoolSection pool = agreed.description().getPoolsMap().get(instance.getPool());
    boolean isListedLive = instance.getObserved().getState() == InstanceState.INSTANCE_LIVE;
    if (pool == null || !isListedLive) {
      return true;
    }
    Collection<InstanceImage> others = agreed.instances(new PoolId(instance.getPool()));
    return InstanceStopGuard.countAvailable(others) >= pool.getMinimumAvailable();
  }

  private void advanceDrained(InstanceImage instance) {
    InstanceStopRequested stop = instance.getStop();
    switch (stop.getPurpose()) {
      case STOP_FOR_REBOOT -> perform(instance, PoolAction.POOL_REBOOT, StopStep.STOP_REBOOTED);
      case STOP_FOR_RETIREMENT -> perform(instance, PoolAction.POOL_RETIRE, StopStep.STOP_RETIRED);
      case STOP_FOR_MOVE -> {
        if (instance.getPool().equals(stop.getTargetPool())) {
          perform(instance, PoolAction.POOL_RETURN, StopStep.STOP_RETURNED);
        } else {
          recordMove(instance);
        }
      }
      default ->
          logger.atWarning().log("event=stop_purpose_unknown operation=%s", stop.getOperation());
    }
  }

  private void perform(InstanceImage instance, PoolAction action, StopStep step) {
    InstanceStopRequested stop = instance.getStop();
    OperationId operation = new OperationId(stop.getOperation());
    if (!beginOperation(operation)) {
      return;
    }
    PoolOperation poolOperation =
        PoolOperation.newBuilder()
            .setOperation(stop.getOperation())
            .setInstance(stop.getInstance())
            .setAction(action)
            .build();
    poolControl
        .perform(poolOperation)
        .thenAccept(result -> handleStatus(stop, operation, step, result));
  }

  private void handleStatus(
      InstanceStopRequested stop,
      OperationId operation,
      StopStep step,
      Either<PlatformError, PoolOperationStatus> result) {
    if (result.isLeft()) {
      metrics.counter("stops.failed_calls").inc();
      finishOperation(operation);
      return;
    }
    PoolOperationStatus status = result.get();
    if (status.getFailed()) {
      record(stop, operation, StopStep.STOP_FAILED, status.getDetail());
    } else if (status.getDone()) {
      record(stop, operation, step, status.getDetail());
    } else {
      finishOperation(operation);
    }
  }

  private void record(
      InstanceStopRequested stop, OperationId operation, StopStep step, String detail) {
    metrics.counter("stops.steps").inc();
    logger.atInfo().log(
        "event=stop_step operation=%s instance=%s step=%s", operation, stop.getInstance(), step);
    InstanceStepDone done =
        InstanceStepDone.newBuilder()
            .setOperation(stop.getOperation())
            .setInstance(stop.getInstance())
            .setStep(step)
            .setDetail(detail)
            .build();
    appender
        .append(LogRecord.newBuilder().setInstanceStepDone(done), APPEND_TIMEOUT_MILLISECONDS)
        .thenAccept(outcome -> finishOperation(operation));
  }

  private void recordMove(InstanceImage instance) {
    InstanceStopRequested stop = instance.getStop();
    OperationId operation = new OperationId(stop.getOperation());
    if (!beginOperation(operation)) {
      return;
    }
    logger.atInfo().log(
        "event=instance_move operation=%s instance=%s from=%s to=%s",
        operation, stop.getInstance(), stop.getPool(), stop.getTargetPool());
    InstanceMoved moved =
        InstanceMoved.newBuilder()
            .setOperation(stop.getOperation())
            .setInstance(stop.getInstance())
            .setFromPool(stop.getPool())
            .setToPool(stop.getTargetPool())
            .build();
    appender
        .append(LogRecord.newBuilder().setInstanceMoved(moved), APPEND_TIMEOUT_MILLISECONDS)
        .thenAccept(outcome -> finishOperation(operation));
  }

  /**
   * Returns whether the notice time has passed and every member has applied the stop or is stale.
   * The time counts from when this entry first observed the stop, which is never before the grant.
   */
  private boolean isNoticeOver(OperationId operation) {
    FirstObservation first = firstObservation(operation);
    long elapsedMilliseconds = timers.monotonicMilliseconds() - first.milliseconds();
    if (elapsedMilliseconds < noticeMilliseconds) {
      return false;
    }
    long freshnessLimitMilliseconds =
        agreed.description().getFleet().getMaximumFreshnessMilliseconds();
    return elapsedMilliseconds > freshnessLimitMilliseconds
        || freshness.haveAllApplied(first.offset());
  }

  private synchronized FirstObservation firstObservation(OperationId operation) {
    return firstObservation.computeIfAbsent(
        operation, key -> new FirstObservation(timers.monotonicMilliseconds(), agreed.offset()));
  }

  private synchronized void removeEndedStops(Set<OperationId> stopsInProgress) {
    firstObservation.keySet().retainAll(stopsInProgress);
  }

  private synchronized boolean beginOperation(OperationId operation) {
    return operationsInProgress.add(operation);
  }

  private synchronized void finishOperation(OperationId operation) {
    operationsInProgress.remove(operation);
  }

  /**
   * The time at which this entry first observed a stop, and the offset that it had applied then.
   */
  private record FirstObservation(long milliseconds, long offset) {}
}
