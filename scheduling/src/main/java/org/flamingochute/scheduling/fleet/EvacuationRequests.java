package org.flamingochute.scheduling.fleet;

import java.util.LinkedHashSet;
import java.util.Set;
import org.flamingochute.decision.identity.DataCentreId;

/** The operators' requests to evacuate data centres that are in force. */
public final class EvacuationRequests {
  private final Set<DataCentreId> declaredDataCentres;
  private final Set<DataCentreId> evacuated = new LinkedHashSet<>();

  /**
   * Creates an empty set of requests.
   *
   * @param declaredDataCentres all data centres, or an empty set if they are not declared
   */
  public EvacuationRequests(Set<DataCentreId> declaredDataCentres) {
    this.declaredDataCentres = Set.copyOf(declaredDataCentres);
  }

  /** Returns whether a data centre may be evacuated; any may if none is declared. */
  public boolean isKnown(DataCentreId dataCentre) {
    return declaredDataCentres.isEmpty() || declaredDataCentres.contains(dataCentre);
  }

  /** Adds a request; returns false if it is in force already. */
  public boolean add(DataCentreId dataCentre) {
    return evacuated.add(dataCentre);
  }

  /** Ends a request; returns false if there was none. */
  public boolean remove(DataCentreId dataCentre) {
    return evacuated.remove(dataCentre);
  }

  /** Returns the data centres that are to be evacuated. */
  public Set<DataCentreId> dataCentres() {
    return Set.copyOf(evacuated);
  }
}
