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
 * Takes each granted stop through its steps. What comes next follows from the agreed state alone,
 * so that another coordinator goes on where this one stopped.
 *
 * <p>First the notice time passes, in which every entry either learns of the stop or becomes stale,
 * and the work in flight ends. Then the platform drains the instance. A reboot follows with reboot
 * and return, a move with the record of the move and return, a retirement with retire. Each step is
 * an idempotent operation of the platform that is asked about until it is done, and then a record.
 *
 * <p>A stop that was granted is given up when the pool loses another instance before the drain, so
 * that a planned stop never adds to a loss. Example: three workers, minimum 2; the stop of A is
 * granted, then B is lost. The stop of A is withdrawn, and A and C stay in service.
 */
final class StopDriver {

  private static final long APPEND_MILLISECONDS = 5_000;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AgreedView agreed;
  private final LogAppender appender;
  private final PoolControl poolControl;
  private final InstanceLoad load;
  private final FreshnessMonitor freshness;
  private final Timers timers;
  private final MetricRegistry metrics;
  private final long noticeMilliseconds;
  private final Map<OperationId, FirstSeen> firstSeen = new HashMap<>();
  private final Set<InstanceId> stopping = new HashSet<>();
  private final Set<OperationId> busy = new HashSet<>();

  StopDriver(MaintenanceParts parts) {
    this.agreed = parts.agreed();
    this.appender = parts.appender();
    this.poolControl = parts.poolControl();
    this.load = parts.load();
    this.freshness = parts.freshness();
    this.timers = parts.timers();
    this.metrics = parts.metrics();
    this.noticeMilliseconds = parts.noticeMilliseconds();
  }

  /** Takes the next step of every stop under way that is ready for it. */
  void drive() {
    Set<OperationId> underWay = new HashSet<>();
    for (InstanceId id : stopping()) {
      Optional<InstanceImage> instance = agreed.instance(id).filter(InstanceImage::hasStop);
      if (instance.isPresent()) {
        underWay.add(new OperationId(instance.get().getStop().getOperation()));
        driveOne(instance.get());
      }
    }
    forgetOthers(underWay);
  }

  /** An instance that reboots may be listed as gone; one whose stop was seen before is kept. */
  private synchronized Set<InstanceId> stopping() {
    stopping.removeIf(id -> agreed.instance(id).filter(InstanceImage::hasStop).isEmpty());
    for (InstanceImage instance : agreed.instances()) {
      if (instance.hasStop()) {
        stopping.add(new InstanceId(instance.getObserved().getInstance()));
      }
    }
    return Set.copyOf(stopping);
  }

  private void driveOne(InstanceImage instance) {
    OperationId operation = new OperationId(instance.getStop().getOperation());
    switch (instance.getLastStep()) {
      case STOP_STEP_UNSPECIFIED -> {
        if (!isBudgetKept(instance)) {
          perform(instance, PoolAction.POOL_RETURN, StopStep.STOP_WITHDRAWN);
        } else if (isNoticeOver(operation) && load.inFlight(instance) == 0) {
          perform(instance, PoolAction.POOL_DRAIN, StopStep.STOP_DRAINED);
        }
      }
      case STOP_DRAINED -> afterDrain(instance);
      case STOP_REBOOTED -> perform(instance, PoolAction.POOL_RETURN, StopStep.STOP_RETURNED);
      default -> {}
    }
  }

  /** Tells whether the pool keeps its availability budget while the instance is out of service. */
  private boolean isBudgetKept(InstanceImage instance) {
    PoolSection pool = agreed.description().getPoolsMap().get(instance.getPool());
    boolean isListedLive = instance.getObserved().getState() == InstanceState.INSTANCE_LIVE;
    if (pool == null || !isListedLive) {
      return true;
    }
    Collection<InstanceImage> others = agreed.instances(new PoolId(instance.getPool()));
    return InstanceStopGuard.countAvailable(others) >= pool.getMinimumAvailable();
  }

  private void afterDrain(InstanceImage instance) {
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
    if (!begin(operation)) {
      return;
    }
    PoolOperation call =
        PoolOperation.newBuilder()
            .setOperation(stop.getOperation())
            .setInstance(stop.getInstance())
            .setAction(action)
            .build();
    poolControl.perform(call).thenAccept(answer -> takeStatus(stop, operation, step, answer));
  }

  private void takeStatus(
      InstanceStopRequested stop,
      OperationId operation,
      StopStep step,
      Either<PlatformError, PoolOperationStatus> answer) {
    if (answer.isLeft()) {
      metrics.counter("stops.failed_calls").inc();
      end(operation);
      return;
    }
    PoolOperationStatus status = answer.get();
    if (status.getFailed()) {
      record(stop, operation, StopStep.STOP_FAILED, status.getDetail());
    } else if (status.getDone()) {
      record(stop, operation, step, status.getDetail());
    } else {
      end(operation);
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
        .append(LogRecord.newBuilder().setInstanceStepDone(done), APPEND_MILLISECONDS)
        .thenAccept(outcome -> end(operation));
  }

  private void recordMove(InstanceImage instance) {
    InstanceStopRequested stop = instance.getStop();
    OperationId operation = new OperationId(stop.getOperation());
    if (!begin(operation)) {
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
        .append(LogRecord.newBuilder().setInstanceMoved(moved), APPEND_MILLISECONDS)
        .thenAccept(outcome -> end(operation));
  }

  /**
   * The time counts from when this entry first saw the stop, which is never too early. After it
   * every member must have folded the stop, or must be stale.
   */
  private boolean isNoticeOver(OperationId operation) {
    FirstSeen seen = firstSeen(operation);
    long passed = timers.monotonicMilliseconds() - seen.milliseconds();
    if (passed < noticeMilliseconds) {
      return false;
    }
    long stale = agreed.description().getFleet().getMaximumFreshnessMilliseconds();
    return passed > stale || freshness.haveAllFolded(seen.offset());
  }

  private synchronized FirstSeen firstSeen(OperationId operation) {
    return firstSeen.computeIfAbsent(
        operation, key -> new FirstSeen(timers.monotonicMilliseconds(), agreed.offset()));
  }

  private synchronized void forgetOthers(Set<OperationId> underWay) {
    firstSeen.keySet().retainAll(underWay);
  }

  private synchronized boolean begin(OperationId operation) {
    return busy.add(operation);
  }

  private synchronized void end(OperationId operation) {
    busy.remove(operation);
  }

  /** When this entry first saw a stop, and the offset that it had folded then. */
  private record FirstSeen(long milliseconds, long offset) {}
}
