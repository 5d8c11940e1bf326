package org.flamingochute.decision.agreement;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.identity.Identifiers;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.schema.PlacerClaimed;
import org.flamingochute.schema.PlacerImage;

/**
 * Which member places the jobs of each pool, and under which epoch.
 *
 * <p>A claim names the epoch that it replaces. Of two members that claim at the same time, the
 * second names an epoch that is over and is refused. An entry stays when its member is gone, so
 * that epochs of a pool only grow.
 */
final class PlacerTable {

  /** Pool under whose name maintenance is coordinated. */
  static final PoolId MAINTENANCE = new PoolId("@maintenance");

  private final Map<PoolId, PlacerImage> placers = new TreeMap<>();

  synchronized FoldResult claim(PlacerClaimed claim) {
    PoolId pool = new PoolId(claim.getPool());
    long epoch = epoch(pool);
    if (claim.getReplacedEpoch() != epoch) {
      return FoldResults.refused(ErrorCode.PLACER_STALE, claim.getReplacedEpoch(), pool, epoch);
    }
    placers.put(
        pool,
        PlacerImage.newBuilder()
            .setPool(pool.value())
            .setIncarnation(claim.getIncarnation())
            .setEpoch(epoch + 1)
            .build());
    return FoldResults.accepted();
  }

  synchronized Optional<PlacerImage> placer(PoolId pool) {
    return Optional.ofNullable(placers.get(pool));
  }

  /** Returns the epoch of a pool; 0 before the first claim. */
  synchronized long epoch(PoolId pool) {
    PlacerImage placer = placers.get(pool);
    return placer == null ? 0 : placer.getEpoch();
  }

  synchronized List<PlacerImage> image() {
    return List.copyOf(placers.values());
  }

  /** Replaces everything by the content of an image. */
  synchronized void load(List<PlacerImage> image) {
    placers.clear();
    for (PlacerImage placer : image) {
      if (Identifiers.isValid(placer.getPool())) {
        placers.put(new PoolId(placer.getPool()), placer);
      }
    }
  }
}
