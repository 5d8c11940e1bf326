package org.flamingochute.decision.maintenance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.flamingochute.decision.identity.InstanceId;

/**
 * Plans the widest step that the guards allow, failure domain by failure domain, in all pools of
 * the wave at once.
 *
 * <p>A pool's step is limited by its availability budget and by the number of failure domains with
 * stops. Domains that have stops already are filled first. Then the domain with most instances left
 * is opened, so that the number of steps is the smallest: with a limit of one domain and room for
 * {@code w} stops, each domain of {@code n} instances needs {@code ceil(n / w)} steps, and no order
 * can do with fewer. Instances that are down are stopped first, since that costs no availability.
 * Within a domain the least busy instance goes first, because it is drained soonest.
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
    for (PoolGuard guard : state.guards()) {
      List<PoolInstance> pool = byPool.getOrDefault(guard.pool(), List.of());
      stops.addAll(nextStops(guard, pool, state.finished()));
    }
    return stops;
  }

  private static List<InstanceId> nextStops(
      PoolGuard guard, List<PoolInstance> pool, Set<InstanceId> finished) {
    StopRoom room = new StopRoom(guard, pool);
    Map<FailureDomain, List<PoolInstance>> left = new HashMap<>();
    for (PoolInstance instance : pool) {
      boolean open = instance.condition() != InstanceCondition.STOPPED;
      if (open && !finished.contains(instance.instance())) {
        left.computeIfAbsent(instance.domain(), key -> new ArrayList<>()).add(instance);
      }
    }
    List<FailureDomain> domains = new ArrayList<>(left.keySet());
    domains.sort(
        Comparator.comparing((FailureDomain domain) -> !room.hasStops(domain))
            .thenComparing(domain -> -left.get(domain).size())
            .thenComparing(Comparator.naturalOrder()));
    List<InstanceId> stops = new ArrayList<>();
    for (FailureDomain domain : domains) {
      List<PoolInstance> instances = left.get(domain);
      instances.sort(WITHIN_DOMAIN);
      for (PoolInstance instance : instances) {
        if (room.allows(instance)) {
          room.take(instance);
          stops.add(instance.instance());
        }
      }
    }
    return stops;
  }

  private static final Comparator<PoolInstance> WITHIN_DOMAIN =
      Comparator.comparing(PoolInstance::isAvailable)
          .thenComparingInt(PoolInstance::inFlight)
          .thenComparing(PoolInstance::instance);
}
