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
   * @param slotFraction supplies the fraction of the slots that the entry may always use
   */
  EndpointChooser create(UniformRandomProvider random, int entryCount, DoubleSupplier slotFraction);
}
