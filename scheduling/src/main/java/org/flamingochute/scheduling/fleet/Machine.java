package org.flamingochute.scheduling.fleet;

import java.util.Optional;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.placement.ResourceVector;

/**
 * A machine as the platform lists it.
 *
 * @param id the machine
 * @param pool pool that the machine is in or is moving to
 * @param state state of the machine
 * @param capacity total capacity for tasks
 * @param worker worker that runs on it
 * @param dataCentre data centre of the machine, if it is listed
 */
public record Machine(
    MachineId id,
    PoolId pool,
    State state,
    ResourceVector capacity,
    Optional<InstanceId> worker,
    Optional<DataCentreId> dataCentre) {

  /** Creates a machine whose data centre is not listed. */
  public Machine(
      MachineId id,
      PoolId pool,
      State state,
      ResourceVector capacity,
      Optional<InstanceId> worker) {
    this(id, pool, state, capacity, worker, Optional.empty());
  }

  /** State of a machine. */
  public enum State {
    /** The machine is running, with or without a worker. */
    UP,
    /** The machine is moving to another pool. */
    MOVING,
    /** The machine is under maintenance. */
    UPKEEP,
    /** The machine is lost or switched off. */
    DOWN
  }
}
