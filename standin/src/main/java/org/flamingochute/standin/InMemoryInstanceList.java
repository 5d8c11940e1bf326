package org.flamingochute.standin;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.platform.InstanceList;
import org.flamingochute.platform.PlatformError;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.InstanceListing;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.ListedInstance;

/**
 * An instance list that lags behind the actual state by a configurable time.
 *
 * <p>Each change is stored with its time. A listing contains the changes that are at least as old
 * as the lag. The visible state never reverts, even if the lag is increased. An instance that is
 * gone is listed as gone for {@value #GONE_RETENTION_MILLISECONDS} ms after the change became
 * visible, and then removed.
 */
public final class InMemoryInstanceList implements InstanceList {

  /** Time in milliseconds for which an instance that is gone is still listed. */
  public static final long GONE_RETENTION_MILLISECONDS = 60_000;

  private final Timers timers;
  private final Map<String, ListedInstance> currentStates = new TreeMap<>();
  private final Map<String, VisibleInstance> visibleInstances = new TreeMap<>();
  private final Deque<Change> pendingChanges = new ArrayDeque<>();
  private long lagMilliseconds;

  private record Change(long changedMilliseconds, ListedInstance instance) {}

  private record VisibleInstance(long visibleSinceMilliseconds, ListedInstance instance) {}

  /**
   * Creates an empty list.
   *
   * @param timers clock for the times of changes
   * @param lagMilliseconds lag of the listings in milliseconds
   */
  public InMemoryInstanceList(Timers timers, long lagMilliseconds) {
    this.timers = timers;
    this.lagMilliseconds = lagMilliseconds;
  }

  /** Sets the lag of later listings. */
  public synchronized void setLagMilliseconds(long milliseconds) {
    lagMilliseconds = milliseconds;
  }

  /** Adds an instance or replaces its data. */
  public synchronized void register(ListedInstance instance) {
    currentStates.put(instance.getInstance(), instance);
    pendingChanges.addLast(new Change(timers.wallMilliseconds(), instance));
  }

  /**
   * Changes the state of an instance.
   *
   * @return false if the instance is unknown
   */
  public synchronized boolean setState(String instance, InstanceState state) {
    ListedInstance registered = currentStates.get(instance);
    if (registered == null) {
      return false;
    }
    register(registered.toBuilder().setState(state).build());
    return true;
  }

  /** Returns the actual state of an instance, without the lag. */
  public synchronized Optional<ListedInstance> find(String instance) {
    return Optional.ofNullable(currentStates.get(instance));
  }

  /** Returns the actual state of all instances, without the lag. */
  public synchronized List<ListedInstance> currentInstances() {
    return new ArrayList<>(currentStates.values());
  }

  @Override
  public CompletableFuture<Either<PlatformError, InstanceListing>> list() {
    return CompletableFuture.completedFuture(Either.right(createListing()));
  }

  private synchronized InstanceListing createListing() {
    long asOfMilliseconds = timers.wallMilliseconds() - lagMilliseconds;
    publishChanges(asOfMilliseconds);
    InstanceListing.Builder listing =
        InstanceListing.newBuilder().setAsOfMilliseconds(asOfMilliseconds);
    for (VisibleInstance instance : visibleInstances.values()) {
      listing.addInstances(instance.instance());
    }
    return listing.build();
  }

  private void publishChanges(long asOfMilliseconds) {
    while (!pendingChanges.isEmpty()
        && pendingChanges.getFirst().changedMilliseconds() <= asOfMilliseconds) {
      Change change = pendingChanges.removeFirst();
      ListedInstance instance = change.instance();
      visibleInstances.put(
          instance.getInstance(),
          new VisibleInstance(timers.wallMilliseconds(), change.instance()));
    }
    removeGoneInstances();
  }

  private void removeGoneInstances() {
    long removeBefore = timers.wallMilliseconds() - GONE_RETENTION_MILLISECONDS;
    Iterator<VisibleInstance> instances = visibleInstances.values().iterator();
    while (instances.hasNext()) {
      VisibleInstance instance = instances.next();
      boolean gone = instance.instance().getState() == InstanceState.INSTANCE_GONE;
      if (gone && instance.visibleSinceMilliseconds() < removeBefore) {
        instances.remove();
      }
    }
  }
}
