package org.flamingochute.decision.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.flamingochute.decision.identity.InstanceId;

/**
 * Draws two of the endpoints that have room, and takes the one with fewer requests of this entry.
 *
 * <p>An endpoint has room while this entry is below its guaranteed part of the slots, one and a
 * half times its part ({@link SlotPart}, or an equal one), or while the requests of all entries are
 * fewer than the slots. In any case this entry stays below its equal part of the connections and
 * below the limit of the outlier detector. Counts of other entries are as old as their last
 * heartbeat, longer than a request takes. They serve to let an entry use what the others leave
 * idle, but they must not decide alone: an entry learns of a free slot at once only when it was its
 * own, so that without a guaranteed part those that hold the slots would keep them, and with a
 * preference by such counts all entries would send to the same endpoint until the next heartbeat.
 *
 * <p>Example: 8 slots, 9 entries: the guaranteed part is 2. An endpoint with 1 own and 8 other
 * requests has room, one with 2 own and 6 others does not, and one with 2 own and 3 others does.
 */
public final class LeastLoadedOfTwoChooser implements EndpointChooser {

  private static final double GUARANTEED_FACTOR = 1.5;

  private final UniformRandomProvider random;
  private final OutlierDetector outliers;
  private final IntSupplier entries;
  private final EndpointPreference preference;
  private final double guaranteedFactor;
  private final DoubleSupplier slotPart;

  /**
   * Creates a chooser with the default preference.
   *
   * @param random the source of random numbers, used under the chooser's own lock
   * @param outliers tells which endpoints get no work or less work
   * @param entries gives the number of entries that share the endpoints
   */
  public LeastLoadedOfTwoChooser(
      UniformRandomProvider random, OutlierDetector outliers, IntSupplier entries) {
    this(random, outliers, entries, EndpointPreference.OWN_IN_FLIGHT, GUARANTEED_FACTOR);
  }

  /**
   * Creates a chooser with the default preference and a part of the slots that follows the waiting
   * requests.
   *
   * @param random the source of random numbers, used under the chooser's own lock
   * @param outliers tells which endpoints get no work or less work
   * @param entries gives the number of entries that share the endpoints
   * @param slotPart gives the part of the slots that is due to this entry, see {@link SlotPart}
   */
  public LeastLoadedOfTwoChooser(
      UniformRandomProvider random,
      OutlierDetector outliers,
      IntSupplier entries,
      DoubleSupplier slotPart) {
    this.random = random;
    this.outliers = outliers;
    this.entries = entries;
    this.preference = EndpointPreference.OWN_IN_FLIGHT;
    this.guaranteedFactor = GUARANTEED_FACTOR;
    this.slotPart = slotPart;
  }

  /**
   * Creates a chooser.
   *
   * @param random the source of random numbers, used under the chooser's own lock
   * @param outliers tells which endpoints get no work or less work
   * @param entries gives the number of entries that share the endpoints
   * @param preference the counts that are compared
   * @param guaranteedFactor multiple of an entry's equal part of the slots that it may always use
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
    this.slotPart = () -> 1.0 / Math.max(1, entries.getAsInt());
  }

  @Override
  public synchronized Optional<InstanceId> choose(
      List<EndpointLoad> candidates, long nowMilliseconds) {
    List<EndpointLoad> withRoom =
        candidates.stream()
            .filter(load -> hasRoom(load, candidates.size(), nowMilliseconds))
            .toList();
    if (withRoom.isEmpty()) {
      return Optional.empty();
    }
    if (withRoom.size() == 1) {
      return Optional.of(withRoom.getFirst().endpoint());
    }
    int first = random.nextInt(withRoom.size());
    int second = (first + 1 + random.nextInt(withRoom.size() - 1)) % withRoom.size();
    return Optional.of(lessLoaded(withRoom.get(first), withRoom.get(second)).endpoint());
  }

  private boolean hasRoom(EndpointLoad load, int endpoints, long nowMilliseconds) {
    int limit = outliers.slotLimit(load.endpoint(), load.slots(), endpoints, nowMilliseconds);
    int entryCount = Math.max(1, entries.getAsInt());
    int connectionPart = Math.max(1, load.connections() / entryCount);
    if (limit <= 0 || load.ownInFlight() >= Math.min(limit, connectionPart)) {
      return false;
    }
    double guaranteed = Math.ceil(guaranteedFactor * limit * slotPart.getAsDouble());
    return load.ownInFlight() < guaranteed || load.totalInFlight() < limit;
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
