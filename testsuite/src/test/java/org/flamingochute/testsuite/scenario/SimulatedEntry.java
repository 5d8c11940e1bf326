package org.flamingochute.testsuite.scenario;

import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.engine.EntryNode;
import org.flamingochute.testsuite.simulation.SimulatedProcess;

/**
 * One start of an entry.
 *
 * @param process what its timers and calls belong to
 * @param incarnation the name of this start
 * @param node the real entry code
 */
record SimulatedEntry(SimulatedProcess process, Incarnation incarnation, EntryNode node) {

  /** Tells whether it runs now. */
  boolean isRunning() {
    return !process.isKilled() && !process.isFrozen();
  }
}
