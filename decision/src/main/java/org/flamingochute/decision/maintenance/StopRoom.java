package org.flamingochute.decision.maintenance;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/** How many more planned stops the guards of one pool allow, and in which failure domains. */
final class StopRoom {

  private final PoolGuard guard;
  private final Set<FailureDomain> stoppedDomains = new TreeSet<>();
  private int available;

  StopRoom(PoolGuard guard, Collection<PoolInstance> instances) {
    this.guard = guard;
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
      return staysAvailable(instance);
    }
    return stoppedDomains.size() < guard.maximumStoppedDomains() && staysAvailable(instance);
  }

  void take(PoolInstance instance) {
    stoppedDomains.add(instance.domain());
    if (instance.isAvailable()) {
      available--;
    }
  }

  boolean hasStops(FailureDomain domain) {
    return stoppedDomains.contains(domain);
  }

  /** Returns how many available instances may still be stopped. */
  int width() {
    return Math.max(0, available - guard.minimumAvailable());
  }

  private boolean staysAvailable(PoolInstance instance) {
    return !instance.isAvailable() || available > guard.minimumAvailable();
  }
}
