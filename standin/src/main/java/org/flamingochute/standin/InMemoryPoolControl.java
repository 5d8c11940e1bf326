package org.flamingochute.standin;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.platform.PlatformError;
import org.flamingochute.platform.PoolControl;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.ListedInstance;
import org.flamingochute.schema.PoolAction;
import org.flamingochute.schema.PoolOperation;
import org.flamingochute.schema.PoolOperationStatus;

/**
 * Pool operations over an {@link InMemoryInstanceList}.
 *
 * <p>Draining lists the instance as leaving. Rebooting powers it down and, after the reboot time,
 * up again. Returning lists it as live. Retiring powers it down and lists it as gone. The pair of
 * operation id and action is performed once; a repetition reports how it stands. The same id with
 * another instance fails.
 */
public final class InMemoryPoolControl implements PoolControl {

  private final Timers timers;
  private final InMemoryInstanceList instances;
  private final InstancePowerSwitch powerSwitch;
  private final long rebootMilliseconds;
  private final Map<OperationKey, Step> steps = new LinkedHashMap<>();

  private record OperationKey(String operation, PoolAction action) {}

  private record Step(PoolOperation operation, PoolOperationStatus status) {}

  /**
   * Creates the pool control.
   *
   * @param rebootMilliseconds time that a reboot takes
   */
  public InMemoryPoolControl(
      Timers timers,
      InMemoryInstanceList instances,
      InstancePowerSwitch powerSwitch,
      long rebootMilliseconds) {
    this.timers = timers;
    this.instances = instances;
    this.powerSwitch = powerSwitch;
    this.rebootMilliseconds = rebootMilliseconds;
  }

  @Override
  public CompletableFuture<Either<PlatformError, PoolOperationStatus>> perform(
      PoolOperation operation) {
    return CompletableFuture.completedFuture(Either.right(performNow(operation)));
  }

  /** Returns the operations performed so far, in order. */
  public synchronized List<PoolOperation> operations() {
    List<PoolOperation> performed = new ArrayList<>();
    for (Step step : steps.values()) {
      performed.add(step.operation());
    }
    return performed;
  }

  private synchronized PoolOperationStatus performNow(PoolOperation operation) {
    OperationKey key = new OperationKey(operation.getOperation(), operation.getAction());
    Step known = steps.get(key);
    if (known == null) {
      PoolOperationStatus status = begin(operation, key);
      steps.put(key, new Step(operation, status));
      return status;
    }
    if (!known.operation().getInstance().equals(operation.getInstance())) {
      return failed(operation, "operation names instance " + known.operation().getInstance());
    }
    return known.status();
  }

  private PoolOperationStatus begin(PoolOperation operation, OperationKey key) {
    Optional<ListedInstance> instance = instances.find(operation.getInstance());
    if (instance.isEmpty()) {
      return failed(operation, "unknown instance " + operation.getInstance());
    }
    if (instance.get().getState() == InstanceState.INSTANCE_GONE) {
      return failed(operation, "instance " + operation.getInstance() + " is gone");
    }
    return switch (operation.getAction()) {
      case POOL_DRAIN -> {
        instances.setState(operation.getInstance(), InstanceState.INSTANCE_LEAVING);
        yield done(operation);
      }
      case POOL_REBOOT -> {
        reboot(instance.get(), key);
        yield PoolOperationStatus.newBuilder().setOperation(operation.getOperation()).build();
      }
      case POOL_RETURN -> {
        instances.setState(operation.getInstance(), InstanceState.INSTANCE_LIVE);
        yield done(operation);
      }
      case POOL_RETIRE -> {
        powerSwitch.setPower(instance.get(), false);
        instances.setState(operation.getInstance(), InstanceState.INSTANCE_GONE);
        yield done(operation);
      }
      default -> failed(operation, "unknown action " + operation.getActionValue());
    };
  }

  private void reboot(ListedInstance instance, OperationKey key) {
    powerSwitch.setPower(instance, false);
    timers.schedule(Duration.ofMillis(rebootMilliseconds), () -> finishReboot(instance, key));
  }

  private synchronized void finishReboot(ListedInstance instance, OperationKey key) {
    powerSwitch.setPower(instance, true);
    PoolOperation operation = steps.get(key).operation();
    steps.put(key, new Step(operation, done(operation)));
  }

  private static PoolOperationStatus done(PoolOperation operation) {
    return PoolOperationStatus.newBuilder()
        .setOperation(operation.getOperation())
        .setDone(true)
        .build();
  }

  private static PoolOperationStatus failed(PoolOperation operation, String detail) {
    return done(operation).toBuilder().setFailed(true).setDetail(detail).build();
  }
}
