package org.flamingochute.decision.dispatch;

/** By which counts {@link LeastLoadedOfTwoChooser} prefers one endpoint to another. */
public enum EndpointPreference {
  /** By the requests in flight of this entry alone, which are exact. */
  OWN_IN_FLIGHT,
  /** By the requests in flight of all entries, of which the others' are as old as a heartbeat. */
  TOTAL_IN_FLIGHT
}
