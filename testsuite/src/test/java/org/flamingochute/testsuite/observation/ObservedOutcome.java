package org.flamingochute.testsuite.observation;

/** The outcome of a request as its caller observed it. */
public enum ObservedOutcome {
  /** A complete response arrived. */
  ANSWERED,
  /** The system reported that the request was not run. */
  NOT_RUN,
  /** The system reported that the outcome is unknown. */
  UNKNOWN,
  /** The connection to the entry was lost, or no response arrived. */
  NO_WORD
}
