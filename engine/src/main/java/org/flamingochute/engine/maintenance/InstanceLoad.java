package org.flamingochute.engine.maintenance;

import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.schema.InstanceImage;

/** Tells how much work instances have in flight, at all entries together. */
public interface InstanceLoad {

  /** Returns the requests or jobs that the instance works on. */
  int inFlight(InstanceImage instance);

  /** Returns the requests in flight at an endpoint, of this entry and its peers. */
  int requestsInFlight(InstanceId endpoint);
}
