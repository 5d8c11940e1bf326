package org.flamingochute.experiment.request;

import java.util.function.Function;
import org.flamingochute.decision.admission.RequestQueue;
import org.flamingochute.decision.admission.ShareSource;

/**
 * The policy under which all entries queue and dispatch requests.
 *
 * @param name the name of the policy in reports
 * @param queueFactory creates the queue of an entry
 * @param chooserFactory creates the endpoint chooser of an entry
 * @param gossipsLoad whether heartbeats carry the numbers of the sender's requests in flight and
 *     waiting
 * @param gossipsStartedRequests whether heartbeats carry the number of requests that the sender
 *     started for each team
 */
record RequestPolicy(
    String name,
    Function<ShareSource, RequestQueue<SimulatedRequest>> queueFactory,
    EndpointChooserFactory chooserFactory,
    boolean gossipsLoad,
    boolean gossipsStartedRequests) {}
