package org.flamingochute.experiment.report;

import org.flamingochute.experiment.Measurement;

/**
 * Names a figure over all seeds.
 *
 * @param experiment the experiment
 * @param subject what was measured
 * @param policy the policy
 * @param measure the name of the figure
 * @param unit its unit
 */
record FigureKey(String experiment, String subject, String policy, String measure, String unit) {

  static FigureKey of(String experiment, Measurement measurement) {
    return new FigureKey(
        experiment,
        measurement.subject(),
        measurement.policy(),
        measurement.measure(),
        measurement.unit());
  }
}
