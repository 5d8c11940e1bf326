package org.flamingochute.decision.maintenance;

import java.util.List;
import org.flamingochute.decision.identity.InstanceId;

/**
 * Stops one instance of the whole wave at a time, in order of names. The plain baseline that {@link
 * DomainWavePlanner} is compared with.
 */
public final class SequentialWavePlanner implements WavePlanner {

  @Override
  public List<InstanceId> nextStops(WaveState state) {
    boolean underWay =
        state.instances().stream()
            .anyMatch(instance -> instance.condition() == InstanceCondition.STOPPED);
    if (state.paused() || underWay) {
      return List.of();
    }
    for (PoolGuard guard : state.guards()) {
      List<PoolInstance> pool =
          state.instances().stream()
              .filter(instance -> instance.pool().equals(guard.pool()))
              .toList();
      StopRoom room = new StopRoom(guard, pool);
      for (PoolInstance instance : pool) {
        if (!state.finished().contains(instance.instance()) && room.allows(instance)) {
          return List.of(instance.instance());
        }
      }
    }
    return List.of();
  }
}
