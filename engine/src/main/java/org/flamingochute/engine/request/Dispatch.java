package org.flamingochute.engine.request;

import org.flamingochute.decision.identity.InstanceId;

/**
 * One attempt: a ticket with an acquired token and a reserved slot of an endpoint.
 *
 * @param shard shard from whose queue the ticket was removed
 * @param endpoint the endpoint whose slot is reserved
 * @param address IP address and port of the endpoint
 */
record Dispatch(RequestTicket ticket, ServiceShard shard, InstanceId endpoint, String address) {}
