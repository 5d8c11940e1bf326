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
 * <p>The platform's list determines which instances are live, leaving or gone, and the first pool
 * of a new instance. After that only {@code InstanceMoved} changes the pool. The list lags behind,
 * and members read copies of different age, so an observation that is older than the latest
 * accepted one is refused.
 */
final class InstanceTable {

  /** Time for which an instance that is gone is retained, in milliseconds. */
  static final long GONE_RETENTION_MILLISECONDS = 86_400_000;

  /** Maximum number of gone instances that are retained. */
  static final int MAXIMUM_GONE_INSTANCES = 10_000;

  private static final Comparator<GoneInstance> BY_AGE =
      Comparator.comparingLong(GoneInstance::goneMilliseconds)
          .thenComparing(GoneInstance::instance);

  private final Map<InstanceId, InstanceImage> instances = new TreeMap<>();
  private final TreeSet<GoneInstance> goneInstances = new TreeSet<>(BY_AGE);
  private Map<String, List<InstanceImage>> byPool;
  private List<InstanceImage> presentInstances;

  /** Handles a member's observation of the platform's list. */
  synchronized ApplyResult observe(InstanceObserved observed, ApplyPosition position) {
    InstanceId id = new InstanceId(observed.getInstance());
    InstanceImage known = instances.get(id);
    if (known == null) {
      putInstance(id, withGoneTime(newInstance(observed), position));
      return ApplyResults.accepted();
    }
    if (observed.getAsOfMilliseconds() < known.getObserved().getAsOfMilliseconds()) {
      return ApplyResults.refused(
          ErrorCode.RECORD_FIELD,
          position.offset(),
          "as_of_milliseconds",
          observed.getAsOfMilliseconds(),
          "a later observation of " + id + " was already accepted");
    }
    InstanceImage.Builder changed = known.toBuilder().setObserved(observed);
    if (isGone(known) && observed.getState() != InstanceState.INSTANCE_GONE) {
      changed.clearFailedJobs().clearGoneMilliseconds();
    }
    putInstance(id, isGone(known) ? changed.build() : withGoneTime(changed.build(), position));
    return ApplyResults.accepted();
  }

  private static InstanceImage newInstance(InstanceObserved observed) {
    return InstanceImage.newBuilder()
        .setObserved(observed)
        .setPool(observed.getFirstPool())
        .build();
  }

  private static InstanceImage withGoneTime(InstanceImage instance, ApplyPosition position) {
    if (!isGone(instance)) {
      return instance;
    }
    return instance.toBuilder().setGoneMilliseconds(position.timeMilliseconds()).build();
  }

  private static boolean isGone(InstanceImage instance) {
    return instance.getObserved().getState() == InstanceState.INSTANCE_GONE;
  }

  /** Changes an instance; does nothing if there is no such instance. */
  synchronized void changeInstance(InstanceId id, UnaryOperator<InstanceImage> change) {
    InstanceImage known = instances.get(id);
    if (known != null) {
      putInstance(id, change.apply(known));
    }
  }

  /**
   * Marks a retired instance as gone before the platform's list does. An observation of an earlier
   * list cannot make it present again.
   */
  synchronized void markRetired(InstanceId id, ApplyPosition position) {
    changeInstance(
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

  private void putInstance(InstanceId id, InstanceImage instance) {
    InstanceImage before = instances.put(id, instance);
    if (before != null) {
      goneInstances.remove(new GoneInstance(before.getGoneMilliseconds(), id));
    }
    if (isGone(instance) && !instance.hasStop()) {
      goneInstances.add(new GoneInstance(instance.getGoneMilliseconds(), id));
    }
    byPool = null;
    presentInstances = null;
  }

  synchronized Optional<InstanceImage> instance(InstanceId id) {
    return Optional.ofNullable(instances.get(id));
  }

  /** Returns the instances that are not gone, ordered by name. */
  synchronized List<InstanceImage> presentInstances() {
    if (presentInstances == null) {
      presentInstances = instances.values().stream().filter(instance -> !isGone(instance)).toList();
    }
    return presentInstances;
  }

  /** Returns the instances of a pool that are not gone, ordered by name. */
  synchronized List<InstanceImage> presentInstances(PoolId pool) {
    if (byPool == null) {
      byPool = groupByPool();
    }
    return byPool.getOrDefault(pool.value(), List.of());
  }

  private Map<String, List<InstanceImage>> groupByPool() {
    Map<String, List<InstanceImage>> groups = new HashMap<>();
    for (InstanceImage instance : presentInstances()) {
      groups.computeIfAbsent(instance.getPool(), absent -> new ArrayList<>()).add(instance);
    }
    groups.replaceAll((pool, list) -> List.copyOf(list));
    return groups;
  }

  /** Returns whether a stop in progress is to move an instance to the pool. */
  synchronized boolean isTargetOfMove(PoolId pool) {
    for (InstanceImage instance : instances.values()) {
      if (instance.hasStop() && instance.getStop().getTargetPool().equals(pool.value())) {
        return true;
      }
    }
    return false;
  }

  /** Removes expired and excess instances that are gone. */
  synchronized void prune(ApplyPosition position) {
    while (!goneInstances.isEmpty()) {
      GoneInstance oldest = goneInstances.first();
      boolean isExpired =
          position.isExpired(oldest.goneMilliseconds(), GONE_RETENTION_MILLISECONDS);
      if (!isExpired && goneInstances.size() <= MAXIMUM_GONE_INSTANCES) {
        return;
      }
      goneInstances.remove(oldest);
      instances.remove(oldest.instance());
    }
  }

  /** Returns all instances, ordered by name. */
  synchronized List<InstanceImage> image() {
    return List.copyOf(instances.values());
  }

  /** Replaces the content by that of an image. */
  synchronized void load(List<InstanceImage> image) {
    instances.clear();
    goneInstances.clear();
    byPool = null;
    presentInstances = null;
    for (InstanceImage instance : image) {
      if (Identifiers.isValid(instance.getObserved().getInstance())) {
        putInstance(new InstanceId(instance.getObserved().getInstance()), instance);
      }
    }
  }

  private record GoneInstance(long goneMilliseconds, InstanceId instance) {}
}
