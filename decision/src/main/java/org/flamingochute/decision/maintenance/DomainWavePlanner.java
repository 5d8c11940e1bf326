package org.flamingochute.decision.maintenance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.flamingochute.decision.identity.InstanceId;

/**
 * Plans the largest step that the limits of the pools allow, one failure domain after another, in
 * all pools of the wave at once.
 *
 * <p>A pool's step is limited by its availability budget and by the number of failure domains with
 * stops. Domains that already have stops come first. Then comes the domain with the most remaining
 * instances, which minimizes the number of steps: with a limit of one domain and of {@code w} stops
 * at once, each domain of {@code n} instances needs {@code ceil(n / w)} steps, and no order needs
 * fewer. Within a domain, instances that are down are stopped first, since that does not reduce
 * availability, and then the least busy ones, because they are drained soonest.
 *
 * <p>Example: a pool of 8 in racks of 4 and 4, budget 5, one domain: the steps are 3 and 1 of the
 * first rack, and 3 and 1 of the second.
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
