package org.flamingochute.scheduling.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.fleet.Machine;

/** The machines under the workers: each has a worker of its own name while it is up. */
final class SimulatedMachines {
  private static final long MOVE_MILLISECONDS = 1_500;

  private final Map<String, Place> places = new LinkedHashMap<>();

  /**
   * Where a machine is.
   *
   * @param pool its pool, or the one that it moves to
   * @param capacity what its worker has
   * @param backAt when it is up; in the past for one that is
   */
  private record Place(PoolId pool, ResourceVector capacity, long backAt) {}

  void add(String name, PoolId pool, ResourceVector capacity) {
    places.put(name, new Place(pool, capacity, Long.MIN_VALUE));
  }

  /** Begins a move; false for a machine that is on its way already. */
  boolean move(MachineId machine, PoolId pool, long now) {
    Place place = places.get(machine.value());
    if (place.backAt() > now) {
      return false;
    }
    places.put(machine.value(), new Place(pool, place.capacity(), now + MOVE_MILLISECONDS));
    return true;
  }

  /** Returns the machines that came up at this moment. */
  List<String> arrivedAt(long now) {
    List<String> arrived = new ArrayList<>();
    places.forEach(
        (name, place) -> {
          if (place.backAt() == now) {
            arrived.add(name);
          }
        });
    return arrived;
  }

  PoolId poolOf(String name) {
    return places.get(name).pool();
  }

  ResourceVector capacityOf(String name) {
    return places.get(name).capacity();
  }

  boolean isEmpty() {
    return places.isEmpty();
  }

  /** Returns what the machines service lists. */
  List<Machine> list(long now) {
    List<Machine> listed = new ArrayList<>();
    places.forEach(
        (name, place) -> {
          boolean up = place.backAt() <= now;
          listed.add(
              new Machine(
                  new MachineId(name),
                  place.pool(),
                  up ? Machine.State.UP : Machine.State.MOVING,
                  place.capacity(),
                  up ? Optional.of(new InstanceId(name)) : Optional.empty()));
        });
    return listed;
  }

  /** Returns how many machines are in a pool or on their way to it. */
  int countIn(PoolId pool) {
    int count = 0;
    for (Place place : places.values()) {
      if (place.pool().equals(pool)) {
        count++;
      }
    }
    return count;
  }
}
