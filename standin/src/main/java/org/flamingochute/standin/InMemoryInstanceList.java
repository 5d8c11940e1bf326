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
 * An instance list that lags behind the true state by a set time.
 *
 * <p>Each change is kept with its time. A listing holds the changes that are older than the lag.
 * The shown state never goes back, also when the lag is raised. An instance that is gone is listed
 * as gone for {@value #GONE_LISTED_MILLISECONDS} ms after the change is shown, and then dropped.
 */
public final class InMemoryInstanceList implements InstanceList {

  /** Time for which an instance that is gone is still listed, in milliseconds. */
  public static final long GONE_LISTED_MILLISECONDS = 60_000;

  private final Timers timers;
  private final Map<String, ListedInstance> current = new TreeMap<>();
  private final Map<String, ShownInstance> shown = new TreeMap<>();
  private final Deque<Change> pending = new ArrayDeque<>();
  private long lagMilliseconds;

  private record Change(long atMilliseconds, ListedInstance instance) {}

  private record ShownInstance(long atMilliseconds, ListedInstance instance) {}

  /**
   * Creates an empty list.
   *
   * @param timers clock of the changes
   * @param lagMilliseconds age of the listings in milliseconds
   */
  public InMemoryInstanceList(Timers timers, long lagMilliseconds) {
    this.timers = timers;
    this.lagMilliseconds = lagMilliseconds;
  }

  /** Changes the age of later listings. */
  public synchronized void setLagMilliseconds(long milliseconds) {
    lagMilliseconds = milliseconds;
  }

  /** Adds an instance, or replaces what is listed about it. */
  public synchronized void register(ListedInstance instance) {
    current.put(instance.getInstance(), instance);
    pending.addLast(new Change(timers.wallMilliseconds(), instance));
  }

  /**
   * Changes the state of an instance.
   *
   * @return false when the instance is not known
   */
  public synchronized boolean setState(String instance, InstanceState state) {
    ListedInstance known = current.get(instance);
    if (known == null) {
      return false;
    }
    register(known.toBuilder().setState(state).build());
    return true;
  }

  /** Returns what is true now of an instance, without the lag. */
  public synchronized Optional<ListedInstance> find(String instance) {
    return Optional.ofNullable(current.get(instance));
  }

  /** Returns what is true now of all instances, without the lag. */
  public synchronized List<ListedInstance> currentInstances() {
    return new ArrayList<>(current.values());
  }

  @Override
  public CompletableFuture<Either<PlatformError, InstanceListing>> list() {
    return CompletableFuture.completedFuture(Either.right(listNow()));
  }

  private synchronized InstanceListing listNow() {
    long asOf = timers.wallMilliseconds() - lagMilliseconds;
    showChanges(asOf);
    InstanceListing.Builder listing = InstanceListing.newBuilder().setAsOfMilliseconds(asOf);
    for (ShownInstance instance : shown.values()) {
      listing.addInstances(instance.instance());
    }
    return listing.build();
  }

  private void showChanges(long asOf) {
    while (!pending.isEmpty() && pending.getFirst().atMilliseconds() <= asOf) {
      Change change = pending.removeFirst();
      ListedInstance instance = change.instance();
      shown.put(
          instance.getInstance(), new ShownInstance(timers.wallMilliseconds(), change.instance()));
    }
    dropGone();
  }

  private void dropGone() {
    long dropBefore = timers.wallMilliseconds() - GONE_LISTED_MILLISECONDS;
    Iterator<ShownInstance> instances = shown.values().iterator();
    while (instances.hasNext()) {
      ShownInstance instance = instances.next();
      boolean gone = instance.instance().getState() == InstanceState.INSTANCE_GONE;
      if (gone && instance.atMilliseconds() < dropBefore) {
        instances.remove();
      }
    }
  }
}
