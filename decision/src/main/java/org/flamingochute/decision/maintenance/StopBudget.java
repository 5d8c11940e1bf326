package org.flamingochute.decision.maintenance;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/** The planned stops that the limits of one pool still allow, and in which failure domains. */
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

  /** Returns the number of available instances that may still be stopped. */
  int remainingStops() {
    return Math.max(0, available - limits.minimumAvailable());
  }

  private boolean keepsMinimumAvailable(PoolInstance instance) {
    return !instance.isAvailable() || available > limits.minimumAvailable();
  }
}
