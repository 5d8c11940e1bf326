package org.flamingochute.experiment;

/**
 * One figure of one run.
 *
 * @param subject what was measured, for example a company
 * @param policy the policy that decided
 * @param measure the name of the figure
 * @param unit its unit
 * @param value the figure
 */
public record Measurement(
    String subject, String policy, String measure, String unit, double value) {}
