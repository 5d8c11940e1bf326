package org.flamingochute.engine.request;

import org.flamingochute.decision.identity.InstanceId;

/**
 * A place at an endpoint that is counted as in flight until it is released.
 *
 * @param address IP address and port of the endpoint
 */
record EndpointReservation(InstanceId endpoint, String address) {}
