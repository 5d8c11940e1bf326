package org.flamingochute.decision.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.flamingochute.decision.identity.InstanceId;

/**
 * Power-of-two-choices balancing: draws two endpoints that have capacity and chooses the one with
 * fewer requests of this entry, relative to its slots.
 *
 * <p>An endpoint has capacity while this entry uses fewer slots than it is guaranteed, or while the
 * requests of all entries are fewer than the slots. The guaranteed slots are one and a half times
 * the entry's fraction of the slots ({@link SlotFraction}, or an equal fraction for each entry),
 * rounded up. In any case this entry stays below its equal fraction of the connections and below
 * the limit of the outlier detector.
 *
 * <p>The counts of other entries are as old as their last heartbeat, and the time between
 * heartbeats is longer than a request takes. These counts allow an entry to use slots that the
 * others leave idle, but they must not decide alone. An entry detects a free slot at once only if
 * it used that slot itself, so without guaranteed slots the entries that use the slots would never
 * release them to others. And if endpoints were compared by these counts, all entries would send to
 * the same endpoint until the next heartbeat.
 *
 * <p>Example: with 8 slots and 9 entries, 2 slots are guaranteed. An endpoint with 1 own and 8
 * other requests has capacity, one with 2 own and 6 others does not, and one with 2 own and 3
 * others does.
 */
public final class LeastLoadedOfTwoChooser implements EndpointChooser {

  private static final double GUARANTEED_FACTOR = 1.5;

  private final UniformRandomProvider random;
  private final OutlierDetector outliers;
  private final IntSupplier entries;
  private final EndpointPreference preference;
  private final double guaranteedFactor;
  private final DoubleSupplier slotFraction;

  /**
   * Creates a chooser with the default preference.
   *
   * @param random the source of random numbers, used under the chooser's own lock
   * @param outliers the detector that limits the use of failing endpoints
   * @param entries provides the number of entries that share the endpoints
   */
  public LeastLoadedOfTwoChooser(
      UniformRandomProvider random, OutlierDetector outliers, IntSupplier entries) {
    this(random, outliers, entries, EndpointPreference.OWN_IN_FLIGHT, GUARANTEED_FACTOR);
  }

  /**
   * Creates a chooser with the default preference and a fraction of the slots that depends on the
   * waiting requests.
   *
   * @param random the source of random numbers, used under the chooser's own lock
   * @param outliers the detector that limits the use of failing endpoints
   * @param entries provides the number of entries that share the endpoints
   * @param slotFraction provides the fraction of the slots for this entry, see {@link SlotFraction}
   */
  public LeastLoadedOfTwoChooser(
      UniformRandomProvider random,
      OutlierDetector outliers,
      IntSupplier entries,
      DoubleSupplier slotFraction) {
    this.random = random;
    this.outliers = outliers;
    this.entries = entries;
    this.preference = EndpointPreference.OWN_IN_FLIGHT;
    this.guaranteedFactor = GUARANTEED_FACTOR;
    this.slotFraction = slotFraction;
  }

  /**
   * Creates a chooser.
   *
   * @param random the source of random numbers, used under the chooser's own lock
   * @param outliers the detector that limits the use of failing endpoints
   * @param entries provides the number of entries that share the endpoints
   * @param preference the counts by which endpoints are compared
   * @param guaranteedFactor multiple of its equal fraction of the slots that an entry may always
   *     use
   */
  public LeastLoadedOfTwoChooser(
      UniformRandomProvider random,
      OutlierDetector outliers,
      IntSupplier entries,
      EndpointPreference preference,
      double guaranteedFactor) {
    this.random = random;
    this.outliers = outliers;
    this.entries = entries;
    this.preference = preference;
    this.guaranteedFactor = guaranteedFactor;
    this.slotFraction = () -> 1.0 / Math.max(1, entries.getAsInt());
  }

  @Override
  public synchronized Optional<InstanceId> choose(
      List<EndpointLoad> candidates, long nowMilliseconds) {
    List<EndpointLoad> withCapacity =
        candidates.stream()
            .filter(load -> hasCapacity(load, candidates.size(), nowMilliseconds))
            .toList();
    if (withCapacity.isEmpty()) {
      return Optional.empty();
    }
    if (withCapacity.size() == 1) {
      return Optional.of(withCapacity.getFirst().endpoint());
    }
    int first = random.nextInt(withCapacity.size());
    int second = (first + 1 + random.nextInt(withCapacity.size() - 1)) % withCapacity.size();
    return Optional.of(lessLoaded(withCapacity.get(first), withCapacity.get(second)).endpoint());
  }

  private boolean hasCapacity(EndpointLoad load, int endpoints, long nowMilliseconds) {
    int limit = outliers.slotLimit(load.endpoint(), load.slots(), endpoints, nowMilliseconds);
    int entryCount = Math.max(1, entries.getAsInt());
    int connectionLimit = Math.max(1, load.connections() / entryCount);
    if (limit <= 0 || load.ownInFlight() >= Math.min(limit, connectionLimit)) {
      return false;
    }
    double guaranteedSlots = Math.ceil(guaranteedFactor * limit * slotFraction.getAsDouble());
    return load.ownInFlight() < guaranteedSlots || load.totalInFlight() < limit;
  }

  private EndpointLoad lessLoaded(EndpointLoad left, EndpointLoad right) {
    long leftLoad = (long) inFlight(left) * right.slots();
    long rightLoad = (long) inFlight(right) * left.slots();
    return rightLoad < leftLoad ? right : left;
  }

  private int inFlight(EndpointLoad load) {
    return switch (preference) {
      case OWN_IN_FLIGHT -> load.ownInFlight();
      case TOTAL_IN_FLIGHT -> load.totalInFlight();
    };
  }
}
