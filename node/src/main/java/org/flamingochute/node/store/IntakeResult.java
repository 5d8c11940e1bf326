package org.flamingochute.node.store;

/** Outcome of an append to the intake topic. */
public enum IntakeResult {
  /** The record is durable. */
  STORED,
  /** The record is not stored and will not be. */
  NOT_STORED,
  /** The record may be stored, or may still become so. */
  UNKNOWN
}
