package org.flamingochute.engine.request;

import org.flamingochute.decision.identity.InstanceId;

/**
 * A slot of an endpoint that counts as in flight until it is released.
 *
 * @param address IP address and port of the endpoint
 */
record EndpointReservation(InstanceId endpoint, String address) {}
