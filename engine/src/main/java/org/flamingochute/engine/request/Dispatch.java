package org.flamingochute.engine.request;

import org.flamingochute.decision.identity.InstanceId;

/**
 * One attempt: a ticket with a token in hand and a place at an endpoint.
 *
 * @param shard queue that the ticket came from
 * @param endpoint the endpoint that the place is reserved at
 * @param address IP address and port of the endpoint
 */
record Dispatch(RequestTicket ticket, ServiceShard shard, InstanceId endpoint, String address) {}
