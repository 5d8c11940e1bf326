package org.flamingochute.scheduling.core;

import java.util.ArrayList;
import java.util.List;
import org.flamingochute.decision.placement.ResourceVector;

/**
 * The workers of a pool that tasks can be placed on in one pass, and what none of them has room
 * for.
 *
 * <p>Room only becomes less within a pass, so a task that reserves at least as much as one that
 * found no room finds none either. While a pool is overloaded, hundreds of jobs wait, and looking
 * at every worker for each of them would take most of the leader's processor time.
 */
final class PoolRoom {
  private final List<Worker> workers;
  private final List<ResourceVector> withoutRoom = new ArrayList<>(1);

  PoolRoom(List<Worker> workers) {
    this.workers = workers;
  }

  List<Worker> workers() {
    return workers;
  }

  /** Returns whether it is known that no worker has room for a reservation. */
  boolean isKnownToExceed(ResourceVector reservation) {
    for (ResourceVector known : withoutRoom) {
      if (known.fitsIn(reservation)) {
        return true;
      }
    }
    return false;
  }

  /** Notes a reservation that could not be placed, if that was for lack of room. */
  void onNotPlaced(ResourceVector reservation) {
    if (isKnownToExceed(reservation)) {
      return;
    }
    for (Worker worker : workers) {
      if (worker.hasRoomFor(reservation)) {
        return;
      }
    }
    withoutRoom.removeIf(known -> reservation.fitsIn(known));
    withoutRoom.add(reservation);
  }
}
