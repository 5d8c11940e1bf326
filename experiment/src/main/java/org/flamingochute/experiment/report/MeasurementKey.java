package org.flamingochute.experiment.report;

import org.flamingochute.experiment.Measurement;

/**
 * Identifies a measure over all seeds.
 *
 * @param experiment the name of the experiment
 * @param subject what was measured
 * @param policy the name of the policy under test, or of the part that is measured
 * @param measure the name of the measure
 * @param unit the unit of the values
 */
record MeasurementKey(
    String experiment, String subject, String policy, String measure, String unit) {

  static MeasurementKey of(String experiment, Measurement measurement) {
    return new MeasurementKey(
        experiment,
        measurement.subject(),
        measurement.policy(),
        measurement.measure(),
        measurement.unit());
  }
}
