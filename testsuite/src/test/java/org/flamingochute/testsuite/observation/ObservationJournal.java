package org.flamingochute.testsuite.observation;

import java.util.ArrayList;
import java.util.List;

/** Records observations in chronological order. */
public final class ObservationJournal {

  private final List<Observation> observations = new ArrayList<>();

  /** Adds an observation. */
  public void add(Observation observation) {
    observations.add(observation);
  }

  /** Returns all observations in order. */
  public List<Observation> all() {
    return List.copyOf(observations);
  }

  /** Returns the observations of one type in order. */
  public <T extends Observation> List<T> ofType(Class<T> type) {
    List<T> found = new ArrayList<>();
    for (Observation observation : observations) {
      if (type.isInstance(observation)) {
        found.add(type.cast(observation));
      }
    }
    return found;
  }
}
