package org.flamingochute.testsuite.simulation;

/** How a worker runs its tasks. */
public enum WorkerBehaviour {
  /** Each task succeeds. */
  HEALTHY,
  /** Each task fails shortly after its start. */
  FAILING
}
