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
 * Performs pool operations on an {@link InMemoryInstanceList}.
 *
 * <p>A drain lists the instance as leaving. A reboot powers it down and, after the reboot time, up
 * again. A return lists it as live. A retirement powers it down and lists it as gone. Each pair of
 * operation id and action is performed once; a repeated call returns its current status. The same
 * id and action with another instance fail.
 */
public final class InMemoryPoolControl implements PoolControl {

  private final Timers timers;
  private final InMemoryInstanceList instances;
  private final InstancePowerSwitch powerSwitch;
  private final long rebootMilliseconds;
  private final Map<OperationKey, OperationState> operationStates = new LinkedHashMap<>();

  private record OperationKey(String operation, PoolAction action) {}

  private record OperationState(PoolOperation operation, PoolOperationStatus status) {}

  /**
   * Creates the pool control.
   *
   * @param rebootMilliseconds duration of a reboot in milliseconds
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
    return CompletableFuture.completedFuture(Either.right(performOnce(operation)));
  }

  /** Returns the first operation received for each pair of id and action, in order of arrival. */
  public synchronized List<PoolOperation> operations() {
    List<PoolOperation> performed = new ArrayList<>();
    for (OperationState state : operationStates.values()) {
      performed.add(state.operation());
    }
    return performed;
  }

  private synchronized PoolOperationStatus performOnce(PoolOperation operation) {
    OperationKey key = new OperationKey(operation.getOperation(), operation.getAction());
    OperationState previous = operationStates.get(key);
    if (previous == null) {
      PoolOperationStatus status = startOperation(operation, key);
      operationStates.put(key, new OperationState(operation, status));
      return status;
    }
    if (!previous.operation().getInstance().equals(operation.getInstance())) {
      return failedStatus(
          operation,
          "the operation id was used for instance " + previous.operation().getInstance());
    }
    return previous.status();
  }

  private PoolOperationStatus startOperation(PoolOperation operation, OperationKey key) {
    Optional<ListedInstance> instance = instances.find(operation.getInstance());
    if (instance.isEmpty()) {
      return failedStatus(operation, "unknown instance " + operation.getInstance());
    }
    if (instance.get().getState() == InstanceState.INSTANCE_GONE) {
      return failedStatus(operation, "instance " + operation.getInstance() + " is gone");
    }
    return switch (operation.getAction()) {
      case POOL_DRAIN -> {
        instances.setState(operation.getInstance(), InstanceState.INSTANCE_LEAVING);
        yield doneStatus(operation);
      }
      case POOL_REBOOT -> {
        startReboot(instance.get(), key);
        yield PoolOperationStatus.newBuilder().setOperation(operation.getOperation()).build();
      }
      case POOL_RETURN -> {
        instances.setState(operation.getInstance(), InstanceState.INSTANCE_LIVE);
        yield doneStatus(operation);
      }
      case POOL_RETIRE -> {
        powerSwitch.setPower(instance.get(), false);
        instances.setState(operation.getInstance(), InstanceState.INSTANCE_GONE);
        yield doneStatus(operation);
      }
      default -> failedStatus(operation, "unknown action " + operation.getActionValue());
    };
  }

  private void startReboot(ListedInstance instance, OperationKey key) {
    powerSwitch.setPower(instance, false);
    timers.schedule(Duration.ofMillis(rebootMilliseconds), () -> finishReboot(instance, key));
  }

  private synchronized void finishReboot(ListedInstance instance, OperationKey key) {
    powerSwitch.setPower(instance, true);
    PoolOperation operation = operationStates.get(key).operation();
    operationStates.put(key, new OperationState(operation, doneStatus(operation)));
  }

  private static PoolOperationStatus doneStatus(PoolOperation operation) {
    return PoolOperationStatus.newBuilder()
        .setOperation(operation.getOperation())
        .setDone(true)
        .build();
  }

  private static PoolOperationStatus failedStatus(PoolOperation operation, String detail) {
    return doneStatus(operation).toBuilder().setFailed(true).setDetail(detail).build();
  }
}
