package org.flamingochute.decision.dispatch;

import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.identity.InstanceId;

/** Chooses the endpoint for a request. Implementations are thread-safe. */
public interface EndpointChooser {

  /**
   * Chooses an endpoint.
   *
   * @param candidates the endpoints that may receive new requests
   * @param nowMilliseconds the current time
   * @return the endpoint, or empty if none has capacity and the request must wait
   */
  Optional<InstanceId> choose(List<EndpointLoad> candidates, long nowMilliseconds);
}
