package org.flamingochute.decision.dispatch;

/** The counts by which {@link LeastLoadedOfTwoChooser} compares endpoints. */
public enum EndpointPreference {
  /** The requests in flight from this entry alone; this count is exact. */
  OWN_IN_FLIGHT,
  /**
   * The requests in flight from all entries; the counts of the others are as old as their last
   * heartbeat.
   */
  TOTAL_IN_FLIGHT
}
