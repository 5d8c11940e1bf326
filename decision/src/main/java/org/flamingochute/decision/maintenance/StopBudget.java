package org.flamingochute.decision.maintenance;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides whether further instances of one pool may be stopped within its limits.
 *
 * <p>A stop must leave the minimum number of instances available, unless the instance is not
 * available anyway. And its failure domain must already have a planned stop, or the number of
 * domains with planned stops must be below the maximum.
 */
final class StopBudget {

  private final PoolStopLimits limits;
  private final Set<FailureDomain> stoppedDomains = new TreeSet<>();
  private int available;

  StopBudget(PoolStopLimits limits, Collection<PoolInstance> instances) {
    this.limits = limits;
    for (PoolInstance instance : instances) {
      if (instance.isAvailable()) {
        available++;
      }
      if (instance.condition() == InstanceCondition.STOPPED) {
        stoppedDomains.add(instance.domain());
      }
    }
  }

  boolean allows(PoolInstance instance) {
    if (stoppedDomains.contains(instance.domain())) {
      return keepsMinimumAvailable(instance);
    }
    return stoppedDomains.size() < limits.maximumStoppedDomains()
        && keepsMinimumAvailable(instance);
  }

  void recordStop(PoolInstance instance) {
    stoppedDomains.add(instance.domain());
    if (instance.isAvailable()) {
      available--;
    }
  }

  boolean hasStoppedInstances(FailureDomain domain) {
    return stoppedDomains.contains(domain);
  }

  /** Returns how many available instances may still be stopped, apart from the domain limit. */
  int remainingStops() {
    return Math.max(0, available - limits.minimumAvailable());
  }

  private boolean keepsMinimumAvailable(PoolInstance instance) {
    return !instance.isAvailable() || available > limits.minimumAvailable();
  }
}
