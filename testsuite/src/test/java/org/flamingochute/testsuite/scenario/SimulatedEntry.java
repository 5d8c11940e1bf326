package org.flamingochute.testsuite.scenario;

import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.engine.EntryNode;
import org.flamingochute.testsuite.simulation.SimulatedProcess;

/**
 * One incarnation of an entry.
 *
 * @param process the simulated process that runs its timers and calls
 * @param incarnation the identifier of this incarnation
 * @param node the real entry code
 */
record SimulatedEntry(SimulatedProcess process, Incarnation incarnation, EntryNode node) {

  /** Returns whether the process is neither killed nor frozen. */
  boolean isRunning() {
    return !process.isKilled() && !process.isFrozen();
  }
}
