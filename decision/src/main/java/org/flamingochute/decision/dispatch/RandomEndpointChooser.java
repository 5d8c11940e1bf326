package org.flamingochute.decision.dispatch;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.flamingochute.decision.identity.InstanceId;

/**
 * Chooses any endpoint on which this entry has fewer requests than the endpoint has slots. The
 * plain baseline that {@link LeastLoadedOfTwoChooser} is compared with.
 */
public final class RandomEndpointChooser implements EndpointChooser {

  private final UniformRandomProvider random;

  /** Creates a chooser that draws from the given source, under its own lock. */
  public RandomEndpointChooser(UniformRandomProvider random) {
    this.random = random;
  }

  @Override
  public synchronized Optional<InstanceId> choose(
      List<EndpointLoad> candidates, long nowMilliseconds) {
    List<EndpointLoad> open =
        candidates.stream().filter(load -> load.ownInFlight() < load.slots()).toList();
    if (open.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(open.get(random.nextInt(open.size())).endpoint());
  }
}
