package org.flamingochute.testsuite.observation;

/** What a caller was told about a request. */
public enum CallerVerdict {
  /** A whole answer arrived. */
  ANSWERED,
  /** The system said that the request was not run. */
  NOT_RUN,
  /** The system said that the outcome is unknown. */
  UNKNOWN,
  /** The connection to the entry was lost, or nothing came. */
  NO_WORD
}
