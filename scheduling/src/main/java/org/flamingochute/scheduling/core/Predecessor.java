package org.flamingochute.scheduling.core;

/** What a new scheduler knows of the one before. */
public enum Predecessor {
  /** There was none, or it gave the leadership up, or its process has ended. */
  OVER,
  /** It may still be running, cut off from the store. */
  UNKNOWN
}
