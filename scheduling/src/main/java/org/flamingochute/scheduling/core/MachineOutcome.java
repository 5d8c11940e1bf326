package org.flamingochute.scheduling.core;

/** The platform's response to a machine command. */
public enum MachineOutcome {
  /** The command was executed, now or earlier. */
  DONE,
  /** The platform has received a higher fencing token, so another node leads. */
  FENCED,
  /** The machine is not up, or is being removed. */
  BUSY,
  /** The machine does not belong to the wave. */
  OTHER_WAVE,
  /** The machine does not exist, or is not suitable for the pool. */
  IMPOSSIBLE,
  /** The platform refused the call for now or was not reached; the command was not executed. */
  THROTTLED,
  /** No response, or an unexpected one; the command may have been executed. */
  UNKNOWN
}
