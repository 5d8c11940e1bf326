package org.flamingochute.engine.fake;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.flamingochute.platform.InstanceList;
import org.flamingochute.platform.PlatformError;
import org.flamingochute.platform.PoolControl;
import org.flamingochute.schema.InstanceListing;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.ListedInstance;
import org.flamingochute.schema.PoolOperation;
import org.flamingochute.schema.PoolOperationStatus;

/** An in-memory instance list and pool service. */
public final class FakePlatform {

  private final VirtualTimers clock;
  private final Map<String, ListedInstance> instances = new LinkedHashMap<>();
  private final List<PoolOperation> operations = new ArrayList<>();
  private final List<Consumer<PoolOperation>> operationListeners = new ArrayList<>();
  private final Map<String, Boolean> failingInstances = new HashMap<>();

  private InstanceListing frozenListing;

  /** Creates an empty platform. */
  public FakePlatform(VirtualTimers clock) {
    this.clock = clock;
  }

  /** Adds an instance to the list; replaces one of the same name. */
  public void addInstance(ListedInstance instance) {
    instances.put(instance.getInstance(), instance);
  }

  /** Changes the state of a listed instance. */
  public void setState(String name, InstanceState state) {
    instances.computeIfPresent(
        name, (key, instance) -> instance.toBuilder().setState(state).build());
  }

  /** Makes every pool operation on the instance fail. */
  public void failOperations(String instance) {
    failingInstances.put(instance, true);
  }

  /** Adds a listener that is called at the start of each pool operation. */
  public void addOperationListener(Consumer<PoolOperation> listener) {
    operationListeners.add(listener);
  }

  /** Returns the pool operations that were started, each once. */
  public List<PoolOperation> operations() {
    return operations;
  }

  /** Freezes the current listing, to simulate a list that lags. */
  public void freezeListing() {
    frozenListing = listing();
  }

  private InstanceListing listing() {
    return InstanceListing.newBuilder()
        .addAllInstances(instances.values())
        .setAsOfMilliseconds(clock.wallMilliseconds())
        .build();
  }

  /** Returns the instance list for one process. */
  public InstanceList instanceList(PausableTimers process) {
    return () -> {
      InstanceListing current = frozenListing == null ? listing() : frozenListing;
      return sendReply(process, Either.right(current));
    };
  }

  /** Returns the pool service for one process. */
  public PoolControl poolControl(PausableTimers process) {
    return operation -> {
      if (!operations.contains(operation)) {
        operations.add(operation);
        operationListeners.forEach(listener -> listener.accept(operation));
      }
      boolean fails = failingInstances.getOrDefault(operation.getInstance(), false);
      PoolOperationStatus status =
          PoolOperationStatus.newBuilder()
              .setOperation(operation.getOperation())
              .setDone(!fails)
              .setFailed(fails)
              .build();
      return sendReply(process, Either.right(status));
    };
  }

  private <T> CompletableFuture<Either<PlatformError, T>> sendReply(
      PausableTimers process, Either<PlatformError, T> value) {
    CompletableFuture<Either<PlatformError, T>> reply = new CompletableFuture<>();
    clock.schedule(Duration.ofMillis(1), () -> process.runOrDefer(() -> reply.complete(value)));
    return reply;
  }
}
