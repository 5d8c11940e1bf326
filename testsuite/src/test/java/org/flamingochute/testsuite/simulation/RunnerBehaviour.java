package org.flamingochute.testsuite.simulation;

/** How a runner answers. */
public enum RunnerBehaviour {
  /** In time and whole. */
  HEALTHY,
  /** After the caller's deadline. */
  LATE,
  /** With a part of the answer; the adapter reports it as unknown. */
  SHORT,
  /** With the answer to another request; the adapter reports it as unknown. */
  CROSSED,
  /** By refusing before it begins. */
  BUSY,
  /** By ending the connection after it began. */
  CUT,
  /** With status 500, after it began. */
  FAILING
}
