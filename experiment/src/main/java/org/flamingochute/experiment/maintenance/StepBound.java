package org.flamingochute.experiment.maintenance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.decision.maintenance.FailureDomain;
import org.flamingochute.decision.maintenance.PoolInstance;
import org.flamingochute.decision.maintenance.PoolStopLimits;

/**
 * Computes a lower bound on the steps in which every instance of a pool can be stopped once within
 * its limits.
 *
 * <p>A step stops at most {@code w} instances, the size less the availability budget but at least
 * 1, in at most {@code d} failure domains. Every plan needs at least {@code ceil(n / w)} steps for
 * {@code n} instances. With {@code d = 1} it also needs at least the sum of {@code ceil(domain /
 * w)} over the sizes of the domains, and otherwise at least {@code ceil(m / d)} steps for {@code m}
 * domains.
 */
final class StepBound {

  private StepBound() {}

  static int minimumSteps(PoolStopLimits limits, List<PoolInstance> pool) {
    int maximumStopsPerStep = Math.max(1, pool.size() - limits.minimumAvailable());
    int stepsBySize = ceilingOfQuotient(pool.size(), maximumStopsPerStep);
    Map<FailureDomain, Integer> domainSizes = new HashMap<>();
    pool.forEach(instance -> domainSizes.merge(instance.domain(), 1, Integer::sum));
    if (limits.maximumStoppedDomains() > 1) {
      return Math.max(
          stepsBySize, ceilingOfQuotient(domainSizes.size(), limits.maximumStoppedDomains()));
    }
    int stepsByDomain = 0;
    for (int size : domainSizes.values()) {
      stepsByDomain += ceilingOfQuotient(size, maximumStopsPerStep);
    }
    return Math.max(stepsBySize, stepsByDomain);
  }

  private static int ceilingOfQuotient(int dividend, int divisor) {
    return (dividend + divisor - 1) / divisor;
  }
}
