package org.flamingochute.experiment.maintenance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.decision.maintenance.FailureDomain;
import org.flamingochute.decision.maintenance.PoolInstance;
import org.flamingochute.decision.maintenance.PoolStopLimits;

/**
 * Computes a lower bound on the steps in which every instance of a pool can be stopped once within
 * its guard.
 *
 * <p>A step stops at most {@code w} instances, the size less the availability budget, in at most
 * {@code d} failure domains. Every plan needs at least {@code ceil(n / w)} steps for {@code n}
 * instances and, if only one domain may be stopped at a time, at least the sum of {@code
 * ceil(domain / w)} over the sizes of the domains.
 */
final class StepBound {

  private StepBound() {}

  static int minimumSteps(PoolStopLimits guard, List<PoolInstance> pool) {
    int maximumStopsPerStep = Math.max(1, pool.size() - guard.minimumAvailable());
    int stepsBySize = ceilingOfQuotient(pool.size(), maximumStopsPerStep);
    Map<FailureDomain, Integer> domainSizes = new HashMap<>();
    pool.forEach(instance -> domainSizes.merge(instance.domain(), 1, Integer::sum));
    if (guard.maximumStoppedDomains() > 1) {
      return Math.max(
          stepsBySize, ceilingOfQuotient(domainSizes.size(), guard.maximumStoppedDomains()));
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
