package org.flamingochute.scheduling.core;

/** Whether earlier leaders may still be running when a new one starts. */
public enum PredecessorState {
  /**
   * There was none; or the last one released the leadership or its process has ended, and leases of
   * those before it have expired.
   */
  OVER,
  /**
   * One may still be running, cut off from the store, or leases that it granted may be in force.
   */
  UNKNOWN
}
