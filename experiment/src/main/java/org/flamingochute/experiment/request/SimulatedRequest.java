package org.flamingochute.experiment.request;

/**
 * A simulated request.
 *
 * @param serviceMilliseconds time for which a runner processes the request
 */
public record SimulatedRequest(double serviceMilliseconds) {}
