package org.flamingochute.decision.maintenance;

import java.util.List;
import java.util.Set;
import org.flamingochute.decision.identity.InstanceId;

/**
 * The state that the next stops of a wave are planned from.
 *
 * @param guards the guards of the wave's pools
 * @param instances all instances of these pools
 * @param finished the instances that the wave is done with
 * @param paused whether the wave may take no further step
 */
public record WaveState(
    List<PoolGuard> guards,
    List<PoolInstance> instances,
    Set<InstanceId> finished,
    boolean paused) {

  /** Copies the collections. */
  public WaveState {
    guards = List.copyOf(guards);
    instances = List.copyOf(instances);
    finished = Set.copyOf(finished);
  }
}
