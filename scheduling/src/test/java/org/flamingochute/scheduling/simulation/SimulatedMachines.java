package org.flamingochute.scheduling.simulation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.fleet.Machine;

/** The machines of the workers: each runs a worker of its own name while it is up. */
final class SimulatedMachines {
  private static final long MOVE_MILLISECONDS = 1_500;

  private final Map<String, MachineLocation> locations = new LinkedHashMap<>();
  private final Set<String> refused = new HashSet<>();

  /**
   * The location of a machine.
   *
   * @param pool pool that the machine is in or is moving to
   * @param capacity capacity of its worker
   * @param dataCentre data centre of the machine
   * @param availableAt time from which the machine is up
   */
  private record MachineLocation(
      PoolId pool, ResourceVector capacity, DataCentreId dataCentre, long availableAt) {}

  void add(String name, PoolId pool, ResourceVector capacity, DataCentreId dataCentre) {
    locations.put(name, new MachineLocation(pool, capacity, dataCentre, Long.MIN_VALUE));
  }

  void refuseMovesOf(String name) {
    refused.add(name);
  }

  /** Starts a move; returns false for a machine that is already moving, or may not be moved. */
  boolean move(MachineId machine, PoolId pool, long now) {
    MachineLocation location = locations.get(machine.value());
    if (location.availableAt() > now || refused.contains(machine.value())) {
      return false;
    }
    locations.put(
        machine.value(),
        new MachineLocation(
            pool, location.capacity(), location.dataCentre(), now + MOVE_MILLISECONDS));
    return true;
  }

  /** Returns the machines that became available at the given time. */
  List<String> arrivalsAt(long now) {
    List<String> arrived = new ArrayList<>();
    locations.forEach(
        (name, location) -> {
          if (location.availableAt() == now) {
            arrived.add(name);
          }
        });
    return arrived;
  }

  PoolId poolOf(String name) {
    return locations.get(name).pool();
  }

  ResourceVector capacityOf(String name) {
    return locations.get(name).capacity();
  }

  DataCentreId dataCentreOf(String name) {
    return locations.get(name).dataCentre();
  }

  boolean isEmpty() {
    return locations.isEmpty();
  }

  /** Returns the list of the machines service. */
  List<Machine> list(long now) {
    List<Machine> listed = new ArrayList<>();
    locations.forEach(
        (name, location) -> {
          boolean up = location.availableAt() <= now;
          listed.add(
              new Machine(
                  new MachineId(name),
                  location.pool(),
                  up ? Machine.State.UP : Machine.State.MOVING,
                  location.capacity(),
                  up ? Optional.of(new InstanceId(name)) : Optional.empty(),
                  Optional.of(location.dataCentre())));
        });
    return listed;
  }

  /** Returns the number of machines in a pool or moving to it. */
  int countIn(PoolId pool) {
    int count = 0;
    for (MachineLocation location : locations.values()) {
      if (location.pool().equals(pool)) {
        count++;
      }
    }
    return count;
  }
}
