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
 * The placer of each pool, that is, the member that assigns the pool's jobs to workers, with its
 * epoch.
 *
 * <p>A claim states the epoch that it replaces. If two members claim a pool at the same time, the
 * second claim states an epoch that has ended and is refused. A pool's last placer is retained when
 * that member is gone, so that the epochs of a pool only increase.
 */
final class PlacerTable {

  /** Name used in place of a pool for the member that coordinates maintenance. */
  static final PoolId MAINTENANCE = new PoolId("@maintenance");

  private final Map<PoolId, PlacerImage> placers = new TreeMap<>();

  synchronized ApplyResult claim(PlacerClaimed claim) {
    PoolId pool = new PoolId(claim.getPool());
    long epoch = epoch(pool);
    if (claim.getReplacedEpoch() != epoch) {
      return ApplyResults.refused(ErrorCode.PLACER_STALE, claim.getReplacedEpoch(), pool, epoch);
    }
    placers.put(
        pool,
        PlacerImage.newBuilder()
            .setPool(pool.value())
            .setIncarnation(claim.getIncarnation())
            .setEpoch(epoch + 1)
            .build());
    return ApplyResults.accepted();
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

  /** Replaces the content by that of an image. */
  synchronized void load(List<PlacerImage> image) {
    placers.clear();
    for (PlacerImage placer : image) {
      if (Identifiers.isValid(placer.getPool())) {
        placers.put(new PoolId(placer.getPool()), placer);
      }
    }
  }
}
