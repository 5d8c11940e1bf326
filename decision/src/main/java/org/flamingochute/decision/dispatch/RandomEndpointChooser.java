package org.flamingochute.decision.dispatch;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.flamingochute.decision.identity.InstanceId;

/**
 * Chooses a random endpoint on which this entry has fewer requests than the endpoint has slots. A
 * simple baseline to compare {@link LeastLoadedOfTwoChooser} with.
 */
public final class RandomEndpointChooser implements EndpointChooser {

  private final UniformRandomProvider random;

  /** Creates a chooser that uses the given random source under the chooser's own lock. */
  public RandomEndpointChooser(UniformRandomProvider random) {
    this.random = random;
  }

  @Override
  public synchronized Optional<InstanceId> choose(
      List<EndpointLoad> candidates, long nowMilliseconds) {
    List<EndpointLoad> available =
        candidates.stream().filter(load -> load.ownInFlight() < load.slots()).toList();
    if (available.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(available.get(random.nextInt(available.size())).endpoint());
  }
}
