package org.flamingochute.experiment.request;

import java.util.function.DoubleSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.flamingochute.decision.dispatch.EndpointChooser;

/** Creates the endpoint chooser of an entry. */
@FunctionalInterface
interface ChooserSource {

  /**
   * Creates a chooser.
   *
   * @param random the entry's random numbers
   * @param entries the number of entries
   * @param slotPart gives the part of the slots that is due to the entry
   */
  EndpointChooser create(UniformRandomProvider random, int entries, DoubleSupplier slotPart);
}
