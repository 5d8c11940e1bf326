package org.flamingochute.experiment;

import java.util.List;

/** One experiment: the decision code under one kind of load, for several policies. */
public interface Experiment {

  /** Returns the name by which it is chosen on the command line. */
  String name();

  /** Returns one sentence that tells what is measured. */
  String description();

  /**
   * Runs the experiment once.
   *
   * @param seed the seed of all random numbers; the same seed gives the same measurements, except
   *     for measurements of processor time
   */
  List<Measurement> run(long seed);
}
