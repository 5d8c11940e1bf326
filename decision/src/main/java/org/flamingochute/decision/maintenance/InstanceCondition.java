package org.flamingochute.decision.maintenance;

/** Whether an instance can serve. */
public enum InstanceCondition {
  /** It serves. */
  AVAILABLE,
  /** A planned stop of it is under way. */
  STOPPED,
  /** It is down or leaving without a planned stop. */
  DOWN
}
