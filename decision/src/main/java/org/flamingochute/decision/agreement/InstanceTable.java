package org.flamingochute.decision.agreement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.identity.Identifiers;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.schema.InstanceImage;
import org.flamingochute.schema.InstanceObserved;
import org.flamingochute.schema.InstanceState;

/**
 * The instances, each in exactly one pool.
 *
 * <p>The platform's list decides what is live, leaving or gone, and the first pool of an instance
 * that is not known yet. After that only {@code InstanceMoved} changes the pool. The list lags, and
 * members read copies of different age, so an observation that is older than the one in force is
 * refused.
 */
final class InstanceTable {

  /** Time for which an instance that is gone is remembered, in milliseconds. */
  static final long GONE_RETENTION_MILLISECONDS = 86_400_000;

  /** Instances that are gone and remembered at most. */
  static final int GONE_LIMIT = 10_000;

  private static final Comparator<Gone> BY_AGE =
      Comparator.comparingLong(Gone::goneMilliseconds).thenComparing(Gone::instance);

  private final Map<InstanceId, InstanceImage> instances = new TreeMap<>();
  private final TreeSet<Gone> gone = new TreeSet<>(BY_AGE);
  private Map<String, List<InstanceImage>> byPool;
  private List<InstanceImage> present;

  /** Takes what a member saw in the platform's list. */
  synchronized FoldResult observe(InstanceObserved observed, FoldPosition position) {
    InstanceId id = new InstanceId(observed.getInstance());
    InstanceImage known = instances.get(id);
    if (known == null) {
      put(id, withGoneTime(newInstance(observed), position));
      return FoldResults.accepted();
    }
    if (observed.getAsOfMilliseconds() < known.getObserved().getAsOfMilliseconds()) {
      return FoldResults.refused(
          ErrorCode.RECORD_FIELD,
          position.offset(),
          "as_of_milliseconds",
          observed.getAsOfMilliseconds(),
          "a later observation of " + id + " is in force");
    }
    InstanceImage.Builder changed = known.toBuilder().setObserved(observed);
    if (isGone(known) && observed.getState() != InstanceState.INSTANCE_GONE) {
      changed.clearFailedJobs().clearGoneMilliseconds();
    }
    put(id, isGone(known) ? changed.build() : withGoneTime(changed.build(), position));
    return FoldResults.accepted();
  }

  private static InstanceImage newInstance(InstanceObserved observed) {
    return InstanceImage.newBuilder()
        .setObserved(observed)
        .setPool(observed.getFirstPool())
        .build();
  }

  private static InstanceImage withGoneTime(InstanceImage instance, FoldPosition position) {
    if (!isGone(instance)) {
      return instance;
    }
    return instance.toBuilder().setGoneMilliseconds(position.timeMilliseconds()).build();
  }

  private static boolean isGone(InstanceImage instance) {
    return instance.getObserved().getState() == InstanceState.INSTANCE_GONE;
  }

  /** Changes an instance that is known; does nothing otherwise. */
  synchronized void change(InstanceId id, UnaryOperator<InstanceImage> change) {
    InstanceImage known = instances.get(id);
    if (known != null) {
      put(id, change.apply(known));
    }
  }

  /**
   * Marks an instance as gone before the platform's list says so, after it was retired. A listing
   * that describes an earlier time can not bring it back.
   */
  synchronized void retire(InstanceId id, FoldPosition position) {
    change(
        id,
        instance -> {
          InstanceImage.Builder retired = instance.toBuilder();
          retired
              .getObservedBuilder()
              .setState(InstanceState.INSTANCE_GONE)
              .setAsOfMilliseconds(position.timeMilliseconds());
          return withGoneTime(retired.build(), position);
        });
  }

  private void put(InstanceId id, InstanceImage instance) {
    InstanceImage before = instances.put(id, instance);
    if (before != null) {
      gone.remove(new Gone(before.getGoneMilliseconds(), id));
    }
    if (isGone(instance) && !instance.hasStop()) {
      gone.add(new Gone(instance.getGoneMilliseconds(), id));
    }
    byPool = null;
    present = null;
  }

  synchronized Optional<InstanceImage> instance(InstanceId id) {
    return Optional.ofNullable(instances.get(id));
  }

  /** Returns the instances that are not gone, in order of their names. */
  synchronized List<InstanceImage> present() {
    if (present == null) {
      present = instances.values().stream().filter(instance -> !isGone(instance)).toList();
    }
    return present;
  }

  /** Returns the instances of a pool that are not gone, in order of their names. */
  synchronized List<InstanceImage> present(PoolId pool) {
    if (byPool == null) {
      byPool = groupByPool();
    }
    return byPool.getOrDefault(pool.value(), List.of());
  }

  private Map<String, List<InstanceImage>> groupByPool() {
    Map<String, List<InstanceImage>> groups = new HashMap<>();
    for (InstanceImage instance : present()) {
      groups.computeIfAbsent(instance.getPool(), absent -> new ArrayList<>()).add(instance);
    }
    groups.replaceAll((pool, list) -> List.copyOf(list));
    return groups;
  }

  /** Tells whether a stop is under way that is to move an instance into the pool. */
  synchronized boolean isTargetOfMove(PoolId pool) {
    for (InstanceImage instance : instances.values()) {
      if (instance.hasStop() && instance.getStop().getTargetPool().equals(pool.value())) {
        return true;
      }
    }
    return false;
  }

  /** Forgets instances that went long ago. */
  synchronized void prune(FoldPosition position) {
    while (!gone.isEmpty()) {
      Gone oldest = gone.first();
      boolean isExpired =
          position.isExpired(oldest.goneMilliseconds(), GONE_RETENTION_MILLISECONDS);
      if (!isExpired && gone.size() <= GONE_LIMIT) {
        return;
      }
      gone.remove(oldest);
      instances.remove(oldest.instance());
    }
  }

  /** Returns all instances in order of their names. */
  synchronized List<InstanceImage> image() {
    return List.copyOf(instances.values());
  }

  /** Replaces everything by the content of an image. */
  synchronized void load(List<InstanceImage> image) {
    instances.clear();
    gone.clear();
    byPool = null;
    present = null;
    for (InstanceImage instance : image) {
      if (Identifiers.isValid(instance.getObserved().getInstance())) {
        put(new InstanceId(instance.getObserved().getInstance()), instance);
      }
    }
  }

  private record Gone(long goneMilliseconds, InstanceId instance) {}
}
