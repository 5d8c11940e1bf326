package org.flamingochute.experiment;

/**
 * One measured value of one run.
 *
 * @param subject what was measured, for example a company
 * @param policy the name of the policy under test; in the cost experiments, the part that is
 *     measured
 * @param measure the name of the measure
 * @param unit the unit of the value; empty for a ratio or a count without unit
 * @param value the measured value
 */
public record Measurement(
    String subject, String policy, String measure, String unit, double value) {}
