package org.flamingochute.decision.dispatch;

import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.identity.InstanceId;

/** Chooses the endpoint that gets a request. Implementations may be called from any thread. */
public interface EndpointChooser {

  /**
   * Chooses an endpoint.
   *
   * @param candidates the endpoints that may get new work
   * @param nowMilliseconds the present time
   * @return the endpoint, or empty when none has room and the request has to wait
   */
  Optional<InstanceId> choose(List<EndpointLoad> candidates, long nowMilliseconds);
}
