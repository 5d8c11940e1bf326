package org.flamingochute.scheduling.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.scheduling.simulation.SimulatedFleet;

/**
 * Evacuates random data centres for random times. It has a source of random numbers of its own, so
 * that a schedule has the same jobs and faults with and without it.
 */
final class RandomEvacuations {
  private static final int DATA_CENTRES = 3;

  /** A request is made or ended at one of so many events. */
  private static final int EVENTS_PER_CHANGE = 12;

  private final Random random;
  private final SimulatedFleet fleet;
  private final List<DataCentreId> evacuated = new ArrayList<>();

  RandomEvacuations(long seed, SimulatedFleet fleet) {
    random = new Random(~seed);
    this.fleet = fleet;
  }

  /** Returns the data centre of a worker. */
  static DataCentreId dataCentre(int worker) {
    return new DataCentreId("dc" + worker % DATA_CENTRES);
  }

  /** Requests or ends an evacuation now and then; returns a description if so. */
  Optional<String> next() {
    if (random.nextInt(EVENTS_PER_CHANGE) > 0) {
      return Optional.empty();
    }
    DataCentreId dataCentre = dataCentre(random.nextInt(DATA_CENTRES));
    if (evacuated.remove(dataCentre)) {
      fleet.endEvacuation(dataCentre);
      return Optional.of(dataCentre + " is no longer evacuated");
    }
    evacuated.add(dataCentre);
    fleet.evacuate(dataCentre);
    return Optional.of(dataCentre + " is evacuated");
  }

  /** Ends all evacuations. */
  void endAll() {
    evacuated.forEach(fleet::endEvacuation);
    evacuated.clear();
  }
}
