package org.flamingochute.experiment.request;

import java.util.function.Function;
import org.flamingochute.decision.admission.RequestQueue;
import org.flamingochute.decision.admission.ShareSource;

/**
 * The decisions of each entry.
 *
 * @param name its name in tables
 * @param queue creates the queue of an entry
 * @param chooser creates the endpoint chooser of an entry
 * @param gossipsEndpoints whether entries tell each other their requests in flight
 * @param gossipsService whether entries tell each other what they started for each team
 */
record RequestPolicy(
    String name,
    Function<ShareSource, RequestQueue<SimulatedRequest>> queue,
    ChooserSource chooser,
    boolean gossipsEndpoints,
    boolean gossipsService) {}
