package org.flamingochute.experiment.request;

import java.util.function.DoubleSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.flamingochute.decision.dispatch.EndpointChooser;

/** Creates the endpoint chooser of an entry. */
@FunctionalInterface
interface EndpointChooserFactory {

  /**
   * Creates a chooser.
   *
   * @param random the entry's random number generator
   * @param entryCount the number of entries
   * @param slotPart supplies the entry's part of the slots
   */
  EndpointChooser create(UniformRandomProvider random, int entryCount, DoubleSupplier slotPart);
}
