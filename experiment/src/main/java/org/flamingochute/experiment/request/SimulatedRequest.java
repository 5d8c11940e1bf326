package org.flamingochute.experiment.request;

/**
 * A request of the model.
 *
 * @param serviceMilliseconds time that a runner works on it
 */
public record SimulatedRequest(double serviceMilliseconds) {}
