package org.flamingochute.decision.maintenance;

import java.util.List;
import org.flamingochute.decision.identity.InstanceId;

/**
 * Stops one instance of the whole wave at a time, in the order of the wave's limits and then in the
 * order in which the instances are passed. A simple baseline to compare {@link DomainWavePlanner}
 * with.
 */
public final class SequentialWavePlanner implements WavePlanner {

  @Override
  public List<InstanceId> nextStops(WaveState state) {
    boolean isStopInProgress =
        state.instances().stream()
            .anyMatch(instance -> instance.condition() == InstanceCondition.STOPPED);
    if (state.paused() || isStopInProgress) {
      return List.of();
    }
    for (PoolStopLimits limits : state.limits()) {
      List<PoolInstance> pool =
          state.instances().stream()
              .filter(instance -> instance.pool().equals(limits.pool()))
              .toList();
      StopBudget budget = new StopBudget(limits, pool);
      for (PoolInstance instance : pool) {
        if (!state.finished().contains(instance.instance()) && budget.allows(instance)) {
          return List.of(instance.instance());
        }
      }
    }
    return List.of();
  }
}
