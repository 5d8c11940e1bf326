package org.flamingochute.decision.maintenance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.flamingochute.decision.identity.InstanceId;

/**
 * Stops as many instances of each pool of the wave as the limits of that pool allow, failure domain
 * by failure domain. The stops that one call returns are a step.
 *
 * <p>A step is limited by the pool's availability budget and by the number of failure domains with
 * planned stops. Domains that already have stops come first, then the domains with the most
 * remaining instances. With a limit of one domain and of {@code w} stops at once, each domain of
 * {@code n} instances needs {@code ceil(n / w)} steps, and no order needs fewer. Within a domain,
 * instances that are down are stopped first, since that does not reduce availability, and then the
 * least busy ones, because they are drained soonest.
 *
 * <p>Example: a pool of 8 in racks of 4 and 4, budget 5, one domain. If each step ends before the
 * next one is planned, the steps are 3 of one rack, 3 of the other, and then 1 of each.
 */
public final class DomainWavePlanner implements WavePlanner {

  @Override
  public List<InstanceId> nextStops(WaveState state) {
    List<InstanceId> stops = new ArrayList<>();
    if (state.paused()) {
      return stops;
    }
    Map<Object, List<PoolInstance>> byPool = new HashMap<>();
    for (PoolInstance instance : state.instances()) {
      byPool.computeIfAbsent(instance.pool(), key -> new ArrayList<>()).add(instance);
    }
    for (PoolStopLimits limits : state.limits()) {
      List<PoolInstance> pool = byPool.getOrDefault(limits.pool(), List.of());
      stops.addAll(nextStops(limits, pool, state.finished()));
    }
    return stops;
  }

  private static List<InstanceId> nextStops(
      PoolStopLimits limits, List<PoolInstance> pool, Set<InstanceId> finished) {
    StopBudget budget = new StopBudget(limits, pool);
    Map<FailureDomain, List<PoolInstance>> remaining = new HashMap<>();
    for (PoolInstance instance : pool) {
      boolean isRemaining = instance.condition() != InstanceCondition.STOPPED;
      if (isRemaining && !finished.contains(instance.instance())) {
        remaining.computeIfAbsent(instance.domain(), key -> new ArrayList<>()).add(instance);
      }
    }
    List<FailureDomain> domains = new ArrayList<>(remaining.keySet());
    domains.sort(
        Comparator.comparing((FailureDomain domain) -> !budget.hasStoppedInstances(domain))
            .thenComparing(domain -> -remaining.get(domain).size())
            .thenComparing(Comparator.naturalOrder()));
    List<InstanceId> stops = new ArrayList<>();
    for (FailureDomain domain : domains) {
      List<PoolInstance> instances = remaining.get(domain);
      instances.sort(ORDER_WITHIN_DOMAIN);
      for (PoolInstance instance : instances) {
        if (budget.allows(instance)) {
          budget.recordStop(instance);
          stops.add(instance.instance());
        }
      }
    }
    return stops;
  }

  private static final Comparator<PoolInstance> ORDER_WITHIN_DOMAIN =
      Comparator.comparing(PoolInstance::isAvailable)
          .thenComparingInt(PoolInstance::inFlight)
          .thenComparing(PoolInstance::instance);
}
