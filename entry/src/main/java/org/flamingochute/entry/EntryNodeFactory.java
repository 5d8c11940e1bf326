package org.flamingochute.entry;

import org.flamingochute.engine.EntryNode;
import org.flamingochute.engine.EntryNodeSettings;

/** Creates the node of an entry process. */
@FunctionalInterface
public interface EntryNodeFactory {

  /** Creates a node without starting it. */
  EntryNode create(EntryNodeSettings settings);
}
