package org.flamingochute.decision.maintenance;

/** The condition of an instance, as far as planned stops are concerned. */
public enum InstanceCondition {
  /** It can accept work. */
  AVAILABLE,
  /** A planned stop of it is in progress. */
  STOPPED,
  /** It is down or leaving without a planned stop. */
  DOWN
}
