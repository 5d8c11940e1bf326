package org.flamingochute.decision.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.function.IntSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.flamingochute.decision.identity.InstanceId;

/**
 * Draws two of the endpoints that have room, and takes the less loaded one.
 *
 * <p>An endpoint has room while the requests in flight of all entries are fewer than its slots,
 * less what the outlier detector holds back, and while this entry is below its equal part of the
 * endpoint's connections. Counts of other entries are as old as their last heartbeat; taking the
 * best of all by such counts would send every entry to the same endpoint at once, while the better
 * of two random ones spreads them. Example: of 3 endpoints with 2, 8 and 5 of 8 slots in use the
 * second has no room; the draw is the first and the third, and the first gets the request.
 */
public final class LeastLoadedOfTwoChooser implements EndpointChooser {

  private final UniformRandomProvider random;
  private final OutlierDetector outliers;
  private final IntSupplier entries;

  /**
   * Creates a chooser.
   *
   * @param random the source of random numbers, used under the chooser's own lock
   * @param outliers tells which endpoints get no work or less work
   * @param entries gives the number of entries that share the endpoints
   */
  public LeastLoadedOfTwoChooser(
      UniformRandomProvider random, OutlierDetector outliers, IntSupplier entries) {
    this.random = random;
    this.outliers = outliers;
    this.entries = entries;
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
    int connectionPart = Math.max(1, load.connections() / Math.max(1, entries.getAsInt()));
    return load.totalInFlight() < limit && load.ownInFlight() < connectionPart;
  }

  private static EndpointLoad lessLoaded(EndpointLoad left, EndpointLoad right) {
    long leftLoad = (long) left.totalInFlight() * right.slots();
    long rightLoad = (long) right.totalInFlight() * left.slots();
    return rightLoad < leftLoad ? right : left;
  }
}
