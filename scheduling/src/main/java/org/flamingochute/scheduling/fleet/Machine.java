package org.flamingochute.scheduling.fleet;

import java.util.Optional;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.placement.ResourceVector;

/**
 * A machine as the platform lists it.
 *
 * @param id the machine
 * @param pool pool that it is in, or that it moves to
 * @param state what it does
 * @param capacity what it has room for
 * @param worker worker that runs on it
 */
public record Machine(
    MachineId id, PoolId pool, State state, ResourceVector capacity, Optional<InstanceId> worker) {

  /** What a machine does. */
  public enum State {
    /** It runs, or could run, a worker. */
    UP,
    /** It is on its way to a pool. */
    MOVING,
    /** It is under maintenance. */
    UPKEEP,
    /** It is lost or off. */
    DOWN
  }
}
