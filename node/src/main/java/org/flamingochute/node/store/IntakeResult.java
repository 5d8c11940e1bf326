package org.flamingochute.node.store;

/** Whether a record of the intake is durable. */
public enum IntakeResult {
  /** It is. */
  STORED,
  /** It is not and will not be. */
  NOT_STORED,
  /** It may be, or may become so. */
  UNKNOWN
}
