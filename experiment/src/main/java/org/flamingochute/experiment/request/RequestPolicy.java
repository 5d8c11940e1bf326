package org.flamingochute.experiment.request;

import java.util.function.BiFunction;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.flamingochute.decision.admission.RequestQueue;
import org.flamingochute.decision.admission.ShareSource;
import org.flamingochute.decision.dispatch.EndpointChooser;

/**
 * The decisions of each entry.
 *
 * @param name its name in tables
 * @param queue creates the queue of an entry
 * @param chooser creates the endpoint chooser of an entry from its random numbers and the number of
 *     entries
 * @param gossipsEndpoints whether entries tell each other their requests in flight
 * @param gossipsService whether entries tell each other what they started for each team
 */
public record RequestPolicy(
    String name,
    Function<ShareSource, RequestQueue<SimulatedRequest>> queue,
    BiFunction<UniformRandomProvider, Integer, EndpointChooser> chooser,
    boolean gossipsEndpoints,
    boolean gossipsService) {}
