package org.flamingochute.testsuite.simulation;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.platform.InstanceList;
import org.flamingochute.platform.PlatformError;
import org.flamingochute.platform.PoolControl;
import org.flamingochute.schema.InstanceListing;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.PoolOperation;
import org.flamingochute.schema.PoolOperationStatus;
import org.flamingochute.testsuite.observation.Observation;
import org.flamingochute.testsuite.observation.ObservationJournal;

/** Simulates the platform's instances, its delayed instance list and its pool operations. */
public final class SimulatedPlatform {

  private static final long CALL_LATENCY_MILLISECONDS = 2;
  private static final long REBOOT_DURATION_MILLISECONDS = 500;

  private final VirtualClock clock;
  private final ObservationJournal journal;
  private final Map<String, SimulatedInstance> instances = new LinkedHashMap<>();
  private final Deque<InstanceListing> listings = new ArrayDeque<>();
  private final Map<String, PoolActionProgress> operations = new HashMap<>();
  private PlannedStopListener plannedStopListener = PlannedStopListener.NONE;
  private long listLagMilliseconds = 300;

  /** Receives planned stops, so that runners and workers can record the interrupted work. */
  public interface PlannedStopListener {

    /** Ignores planned stops. */
    PlannedStopListener NONE = instance -> {};

    /** Called when the reboot or retirement of an instance begins, which terminates its work. */
    void instanceStopped(String instance);
  }

  private record PoolActionProgress(long completionMilliseconds) {}

  /** Creates a platform without instances. */
  public SimulatedPlatform(VirtualClock clock, ObservationJournal journal) {
    this.clock = clock;
    this.journal = journal;
  }

  /** Sets the listener for planned stops. */
  public void setPlannedStopListener(PlannedStopListener listener) {
    plannedStopListener = listener;
  }

  /** Adds an instance. */
  public void add(SimulatedInstance instance) {
    instances.put(instance.name(), instance);
    recordChange(instance);
  }

  /** Returns an instance by its name. */
  public Optional<SimulatedInstance> instance(String name) {
    return Optional.ofNullable(instances.get(name));
  }

  /** Returns all instances. */
  public Collection<SimulatedInstance> instances() {
    return instances.values();
  }

  /** Sets the age of the returned instance list in milliseconds. */
  public void setListLag(long milliseconds) {
    listLagMilliseconds = milliseconds;
  }

  /** Changes the state of an instance. */
  public void setState(String name, InstanceState state) {
    SimulatedInstance instance = instances.get(name);
    if (instance == null) {
      throw new IllegalArgumentException("unknown instance: \"" + name + "\"");
    }
    instance.setState(state);
    recordChange(instance);
  }

  /** Sets the incarnation of an entry's instance and marks the instance as live. */
  public void setIncarnation(String name, String incarnation) {
    instances.get(name).setIncarnation(incarnation);
    setState(name, InstanceState.INSTANCE_LIVE);
  }

  private void recordChange(SimulatedInstance instance) {
    journal.add(
        new Observation.InstanceChanged(
            clock.nowMilliseconds(), instance.name(), instance.state()));
    InstanceListing.Builder listing =
        InstanceListing.newBuilder().setAsOfMilliseconds(clock.wallMilliseconds());
    instances.values().forEach(listed -> listing.addInstances(listed.toListedInstance()));
    listings.addLast(listing.build());
  }

  private InstanceListing delayedListing() {
    long asOf = clock.wallMilliseconds() - listLagMilliseconds;
    InstanceListing found = listings.peekFirst();
    for (InstanceListing listing : listings) {
      if (listing.getAsOfMilliseconds() > asOf) {
        break;
      }
      found = listing;
    }
    return found.toBuilder().setAsOfMilliseconds(asOf).build();
  }

  /** Returns the instance list client of a process. */
  public InstanceList instanceListFor(SimulatedProcess process) {
    return () -> {
      CompletableFuture<Either<PlatformError, InstanceListing>> result = new CompletableFuture<>();
      process.runAfter(
          CALL_LATENCY_MILLISECONDS, () -> result.complete(Either.right(delayedListing())));
      return result;
    };
  }

  /** Returns the pool control client of a process. */
  public PoolControl poolControlFor(SimulatedProcess process) {
    return operation -> {
      CompletableFuture<Either<PlatformError, PoolOperationStatus>> result =
          new CompletableFuture<>();
      clock.runAfter(
          CALL_LATENCY_MILLISECONDS,
          () -> {
            Either<PlatformError, PoolOperationStatus> status = perform(operation);
            process.runAfter(CALL_LATENCY_MILLISECONDS, () -> result.complete(status));
          });
      return result;
    };
  }

  private Either<PlatformError, PoolOperationStatus> perform(PoolOperation operation) {
    SimulatedInstance instance = instances.get(operation.getInstance());
    if (instance == null) {
      return Either.left(new PlatformError.Refused("unknown instance " + operation.getInstance()));
    }
    String id = operation.getOperation() + "/" + operation.getAction();
    PoolActionProgress progress = operations.get(id);
    if (progress == null) {
      progress = begin(operation, instance);
      operations.put(id, progress);
    }
    boolean done = clock.nowMilliseconds() >= progress.completionMilliseconds();
    return Either.right(
        PoolOperationStatus.newBuilder()
            .setOperation(operation.getOperation())
            .setDone(done)
            .build());
  }

  private PoolActionProgress begin(PoolOperation operation, SimulatedInstance instance) {
    journal.add(
        new Observation.PoolActionStarted(
            clock.nowMilliseconds(), instance.name(), operation.getAction()));
    long now = clock.nowMilliseconds();
    return switch (operation.getAction()) {
      case POOL_DRAIN -> {
        setState(instance.name(), InstanceState.INSTANCE_LEAVING);
        yield new PoolActionProgress(now);
      }
      case POOL_RETURN -> {
        setState(instance.name(), InstanceState.INSTANCE_LIVE);
        yield new PoolActionProgress(now);
      }
      case POOL_REBOOT -> {
        plannedStopListener.instanceStopped(instance.name());
        yield new PoolActionProgress(now + REBOOT_DURATION_MILLISECONDS);
      }
      case POOL_RETIRE -> {
        plannedStopListener.instanceStopped(instance.name());
        setState(instance.name(), InstanceState.INSTANCE_GONE);
        yield new PoolActionProgress(now);
      }
      default -> new PoolActionProgress(now);
    };
  }
}
