package org.flamingochute.decision.dispatch;

import org.flamingochute.decision.identity.InstanceId;

/**
 * The load of an endpoint, from the view of one entry.
 *
 * @param endpoint the endpoint
 * @param ownInFlight number of requests of this entry that are in flight on it
 * @param remoteInFlight number of requests of the other entries in flight, as last reported
 * @param slots number of requests that it processes concurrently
 * @param connections number of connections that it accepts from all entries together
 */
public record EndpointLoad(
    InstanceId endpoint, int ownInFlight, int remoteInFlight, int slots, int connections) {

  /** Returns the number of requests in flight from all entries. */
  public int totalInFlight() {
    return ownInFlight + remoteInFlight;
  }
}
