package org.flamingochute.experiment.maintenance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.decision.maintenance.FailureDomain;
import org.flamingochute.decision.maintenance.PoolGuard;
import org.flamingochute.decision.maintenance.PoolInstance;

/**
 * The fewest steps in which the guards allow every instance of a pool to be stopped once.
 *
 * <p>A step stops at most {@code w} instances, the size less the availability budget, in at most
 * {@code d} failure domains. No plan does with fewer than {@code ceil(n / w)} steps, nor, when one
 * domain at a time may be stopped, with fewer than the sum of {@code ceil(domain / w)}.
 */
final class StepBound {

  private StepBound() {}

  static int steps(PoolGuard guard, List<PoolInstance> pool) {
    int width = Math.max(1, pool.size() - guard.minimumAvailable());
    int bySize = ceilingOfQuotient(pool.size(), width);
    Map<FailureDomain, Integer> domains = new HashMap<>();
    pool.forEach(instance -> domains.merge(instance.domain(), 1, Integer::sum));
    if (guard.maximumStoppedDomains() > 1) {
      return Math.max(bySize, ceilingOfQuotient(domains.size(), guard.maximumStoppedDomains()));
    }
    int byDomain = 0;
    for (int size : domains.values()) {
      byDomain += ceilingOfQuotient(size, width);
    }
    return Math.max(bySize, byDomain);
  }

  private static int ceilingOfQuotient(int dividend, int divisor) {
    return (dividend + divisor - 1) / divisor;
  }
}
