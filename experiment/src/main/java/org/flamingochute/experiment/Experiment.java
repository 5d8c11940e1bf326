package org.flamingochute.experiment;

import java.util.List;

/** Measures the decision code under one kind of load, in most experiments with several policies. */
public interface Experiment {

  /** Returns the name that selects this experiment on the command line. */
  String name();

  /** Returns one sentence that describes what is measured. */
  String description();

  /**
   * Runs the experiment once.
   *
   * @param seed the seed of all random numbers; the same seed gives the same measurements, except
   *     for those of elapsed time and heap
   */
  List<Measurement> run(long seed);
}
