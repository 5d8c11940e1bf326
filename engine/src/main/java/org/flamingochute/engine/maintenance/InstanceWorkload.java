package org.flamingochute.engine.maintenance;

import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.schema.InstanceImage;

/** Provides the work in flight at instances, from all entries. */
public interface InstanceWorkload {

  /** Returns the number of requests or jobs that the instance is processing. */
  int inFlight(InstanceImage instance);

  /** Returns the requests in flight at an endpoint, from this entry and its peers. */
  int requestsInFlight(InstanceId endpoint);
}
