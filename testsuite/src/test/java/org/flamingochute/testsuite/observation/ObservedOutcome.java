package org.flamingochute.testsuite.observation;

/** The outcome of a request as its caller observed it. */
public enum ObservedOutcome {
  /** A complete response with status 200 arrived. */
  ANSWERED,
  /** The system reported that the request was not run. */
  NOT_RUN,
  /** The system reported that the outcome is unknown, or the response has another status. */
  UNKNOWN,
  /** Neither a response nor a report arrived within the timeout and a grace period. */
  NO_RESPONSE
}
