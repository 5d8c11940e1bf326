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

/** The instance list and the pool service in memory. */
public final class FakePlatform {

  private final VirtualTimers clock;
  private final Map<String, ListedInstance> instances = new LinkedHashMap<>();
  private final List<PoolOperation> operations = new ArrayList<>();
  private final List<Consumer<PoolOperation>> watchers = new ArrayList<>();
  private final Map<String, Boolean> failing = new HashMap<>();

  private InstanceListing frozen;

  /** Creates an empty platform. */
  public FakePlatform(VirtualTimers clock) {
    this.clock = clock;
  }

  /** Lists an instance, in place of one of the same name. */
  public void list(ListedInstance instance) {
    instances.put(instance.getInstance(), instance);
  }

  /** Lists an instance with another state. */
  public void setState(String name, InstanceState state) {
    instances.computeIfPresent(
        name, (key, instance) -> instance.toBuilder().setState(state).build());
  }

  /** Makes every pool operation on the instance fail. */
  public void failOperations(String instance) {
    failing.put(instance, true);
  }

  /** Tells of each pool operation when it is begun. */
  public void onOperation(Consumer<PoolOperation> watcher) {
    watchers.add(watcher);
  }

  /** Returns the pool operations that were begun, each once. */
  public List<PoolOperation> operations() {
    return operations;
  }

  /** Keeps the listing as it is now, as a list does that lags. */
  public void freezeListing() {
    frozen = listing();
  }

  private InstanceListing listing() {
    return InstanceListing.newBuilder()
        .addAllInstances(instances.values())
        .setAsOfMilliseconds(clock.wallMilliseconds())
        .build();
  }

  /** Returns the list as one process reaches it. */
  public InstanceList instanceList(PausableTimers process) {
    return () -> {
      InstanceListing answered = frozen == null ? listing() : frozen;
      return answer(process, Either.right(answered));
    };
  }

  /** Returns the pool service as one process reaches it. */
  public PoolControl poolControl(PausableTimers process) {
    return operation -> {
      if (!operations.contains(operation)) {
        operations.add(operation);
        watchers.forEach(watcher -> watcher.accept(operation));
      }
      boolean fails = failing.getOrDefault(operation.getInstance(), false);
      PoolOperationStatus status =
          PoolOperationStatus.newBuilder()
              .setOperation(operation.getOperation())
              .setDone(!fails)
              .setFailed(fails)
              .build();
      return answer(process, Either.right(status));
    };
  }

  private <T> CompletableFuture<Either<PlatformError, T>> answer(
      PausableTimers process, Either<PlatformError, T> value) {
    CompletableFuture<Either<PlatformError, T>> reply = new CompletableFuture<>();
    clock.schedule(Duration.ofMillis(1), () -> process.runOrHold(() -> reply.complete(value)));
    return reply;
  }
}
