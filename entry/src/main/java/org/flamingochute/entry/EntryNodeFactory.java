package org.flamingochute.entry;

import org.flamingochute.engine.EntryNode;
import org.flamingochute.engine.EntryNodeSettings;

/** Creates the node that a process serves. */
@FunctionalInterface
public interface EntryNodeFactory {

  /** Creates a node that has not been started. */
  EntryNode create(EntryNodeSettings settings);
}
