package org.flamingochute.decision.dispatch;

import org.flamingochute.decision.identity.InstanceId;

/**
 * What an entry knows about an endpoint that may take a request.
 *
 * @param endpoint the endpoint
 * @param ownInFlight requests of this entry that it works on
 * @param remoteInFlight requests of the other entries, as they reported last
 * @param slots requests that it works on at once
 * @param connections connections that it accepts from all entries together
 */
public record EndpointLoad(
    InstanceId endpoint, int ownInFlight, int remoteInFlight, int slots, int connections) {

  /** Returns the requests in flight of all entries. */
  public int totalInFlight() {
    return ownInFlight + remoteInFlight;
  }
}
