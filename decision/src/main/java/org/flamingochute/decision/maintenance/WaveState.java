package org.flamingochute.decision.maintenance;

import java.util.List;
import java.util.Set;
import org.flamingochute.decision.identity.InstanceId;

/**
 * The input from which the next stops of a wave are planned.
 *
 * @param limits the limits of the wave's pools
 * @param instances all instances of these pools
 * @param finished the instances that the wave has finished
 * @param paused whether the wave must not make any further stop
 */
public record WaveState(
    List<PoolStopLimits> limits,
    List<PoolInstance> instances,
    Set<InstanceId> finished,
    boolean paused) {

  /** Copies the collections. */
  public WaveState {
    limits = List.copyOf(limits);
    instances = List.copyOf(instances);
    finished = Set.copyOf(finished);
  }
}
