package org.flamingochute.decision.maintenance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;

/**
 * Plans which instances of a pool are retired when the pool has more than its size, and which of
 * them may be stopped now.
 *
 * <p>Instances that are down are retired first. Otherwise the remaining instances should be spread
 * over data centres and racks, so that the loss of one costs as few of them as possible. So the
 * next instance is one of the data centre with the most remaining instances, within it of the rack
 * with the most remaining ones, and within that the least busy one. Retiring from the largest group
 * leaves groups of available instances that differ by at most one wherever that is possible.
 * Example: 8 available instances, 4 in data centre a, 3 in b and 1 in c, reduced to 4, with equal
 * racks and load: the retired ones are in a, a, b and then a (after two of a and one of b are gone,
 * both have 2), which leaves 1, 2 and 1.
 *
 * <p>The number of stops at once is limited by the availability budget and by the number of failure
 * domains with stops.
 */
public final class ShrinkPlanner {

  /**
   * Returns the instances to stop now.
   *
   * @param limits the current limits of the pool
   * @param instances the instances of the pool; those with a planned stop are ignored, except that
   *     they count towards the limits
   * @param size the number of instances without a planned stop that remain in the end
   */
  public List<InstanceId> nextRetirements(
      PoolStopLimits limits, List<PoolInstance> instances, int size) {
    int stopped = 0;
    for (PoolInstance instance : instances) {
      if (instance.condition() == InstanceCondition.STOPPED) {
        stopped++;
      }
    }
    int surplus = instances.size() - stopped - size;
    StopBudget budget = new StopBudget(limits, instances);
    List<InstanceId> retirements = new ArrayList<>();
    for (PoolInstance instance : retirementOrder(instances, surplus)) {
      if (budget.allows(instance)) {
        budget.recordStop(instance);
        retirements.add(instance.instance());
      }
    }
    return retirements;
  }

  /**
   * Returns the instances to retire, in order: as many as the surplus, or all if there are fewer.
   */
  List<PoolInstance> retirementOrder(List<PoolInstance> instances, int surplus) {
    List<PoolInstance> remaining = new ArrayList<>();
    for (PoolInstance instance : instances) {
      if (instance.condition() != InstanceCondition.STOPPED) {
        remaining.add(instance);
      }
    }
    List<PoolInstance> order = new ArrayList<>();
    while (order.size() < surplus && !remaining.isEmpty()) {
      PoolInstance next = nextToRetire(remaining);
      remaining.remove(next);
      order.add(next);
    }
    return order;
  }

  private static PoolInstance nextToRetire(List<PoolInstance> remaining) {
    Map<DataCentreId, Integer> perDataCentre = new HashMap<>();
    Map<FailureDomain, Integer> perDomain = new HashMap<>();
    for (PoolInstance instance : remaining) {
      perDataCentre.merge(instance.dataCentre(), 1, Integer::sum);
      perDomain.merge(instance.domain(), 1, Integer::sum);
    }
    return remaining.stream()
        .min(
            Comparator.comparing(PoolInstance::isAvailable)
                .thenComparing(instance -> -perDataCentre.get(instance.dataCentre()))
                .thenComparing(instance -> -perDomain.get(instance.domain()))
                .thenComparingInt(PoolInstance::inFlight)
                .thenComparing(PoolInstance::instance))
        .orElseThrow();
  }
}
