package org.flamingochute.scheduling.core;

/** How the platform answered an order for a machine. */
public enum MachineOutcome {
  /** It was carried out, now or before. */
  DONE,
  /** The platform knows a higher fencing token, so another entry schedules. */
  FENCED,
  /** The machine is not up, or is leaving. */
  BUSY,
  /** The machine does not belong to the wave. */
  OTHER_WAVE,
  /** There is no such machine, or it does not fit the pool. */
  IMPOSSIBLE,
  /** Too many calls; nothing was done. */
  THROTTLED,
  /** No answer, so it may have been carried out. */
  UNKNOWN
}
