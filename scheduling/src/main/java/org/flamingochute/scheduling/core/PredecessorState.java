package org.flamingochute.scheduling.core;

/** What a new leader knows about the previous one. */
public enum PredecessorState {
  /** There was none, it released the leadership, or its process has ended. */
  OVER,
  /** It may still be running, cut off from the store. */
  UNKNOWN
}
