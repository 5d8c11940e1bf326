package org.flamingochute.decision.maintenance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;

/**
 * Plans which instances a pool gives up when it holds more than its size, and which of them may be
 * stopped now.
 *
 * <p>The instances that stay should survive the loss of a data centre or rack as well as possible.
 * So the next one to go is always one of the data centre that has most instances left, within it of
 * the rack that has most left, and among those one that is down or least busy. Taking from the
 * largest each time leaves parts that differ by at most one wherever that can be reached. Example:
 * 8 instances, 4 in data centre a, 3 in b, 1 in c, to 4: the ones to go are of a, a, b and then a
 * (after two of a and one of b are gone both have 2), which leaves 1, 2 and 1.
 *
 * <p>How many may go at once is limited by the availability budget; a stop in an order of data
 * centres is limited by the number of failure domains too.
 */
public final class ShrinkPlanner {

  /**
   * Returns the instances to stop now.
   *
   * @param guard the guards of the pool, as they are in force
   * @param instances the instances of the pool; those that are being retired count as stopped
   * @param size the number of instances that the pool is to hold in the end
   */
  public List<InstanceId> nextRetirements(PoolGuard guard, List<PoolInstance> instances, int size) {
    int stopped = 0;
    for (PoolInstance instance : instances) {
      if (instance.condition() == InstanceCondition.STOPPED) {
        stopped++;
      }
    }
    int surplus = instances.size() - stopped - size;
    StopRoom room = new StopRoom(guard, instances);
    List<InstanceId> retirements = new ArrayList<>();
    for (PoolInstance instance : retirementOrder(instances, surplus)) {
      if (room.allows(instance)) {
        room.take(instance);
        retirements.add(instance.instance());
      }
    }
    return retirements;
  }

  /** Returns the instances that go, in order: as many as the surplus says. */
  List<PoolInstance> retirementOrder(List<PoolInstance> instances, int surplus) {
    List<PoolInstance> staying = new ArrayList<>();
    for (PoolInstance instance : instances) {
      if (instance.condition() != InstanceCondition.STOPPED) {
        staying.add(instance);
      }
    }
    List<PoolInstance> order = new ArrayList<>();
    while (order.size() < surplus && !staying.isEmpty()) {
      PoolInstance next = nextToGo(staying);
      staying.remove(next);
      order.add(next);
    }
    return order;
  }

  private static PoolInstance nextToGo(List<PoolInstance> staying) {
    Map<DataCentreId, Integer> perDataCentre = new HashMap<>();
    Map<FailureDomain, Integer> perDomain = new HashMap<>();
    for (PoolInstance instance : staying) {
      perDataCentre.merge(instance.dataCentre(), 1, Integer::sum);
      perDomain.merge(instance.domain(), 1, Integer::sum);
    }
    return staying.stream()
        .min(
            Comparator.comparing(PoolInstance::isAvailable)
                .thenComparing(instance -> -perDataCentre.get(instance.dataCentre()))
                .thenComparing(instance -> -perDomain.get(instance.domain()))
                .thenComparingInt(PoolInstance::inFlight)
                .thenComparing(PoolInstance::instance))
        .orElseThrow();
  }
}
