package org.flamingochute.testsuite.simulation;

/** How a runner responds to requests. */
public enum RunnerBehaviour {
  /** Responds completely and in time. */
  HEALTHY,
  /** Responds after the timeout of the request. */
  LATE,
  /** Sends a truncated response, which the adapter reports as unknown. */
  SHORT,
  /** Sends the response to another request, which the adapter reports as unknown. */
  CROSSED,
  /** Rejects the request before starting it. */
  BUSY,
  /** Closes the connection instead of sending the response. */
  CUT,
  /** Runs the request and responds with status 500. */
  FAILING
}
