package org.flamingochute.engine.status;

import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.engine.maintenance.InstanceWorkload;
import org.flamingochute.engine.request.EndpointTable;
import org.flamingochute.schema.InstanceImage;
import org.flamingochute.schema.InstanceKind;
import org.flamingochute.schema.JobImage;
import org.flamingochute.schema.JobPhase;

/**
 * The work in flight at instances: running jobs of workers, requests from all entries at runners.
 */
public final class FleetWorkload implements InstanceWorkload {

  private final AgreedView agreed;
  private final EndpointTable endpoints;

  /** Creates the workload as known to one entry. */
  public FleetWorkload(AgreedView agreed, EndpointTable endpoints) {
    this.agreed = agreed;
    this.endpoints = endpoints;
  }

  @Override
  public int inFlight(InstanceImage instance) {
    String name = instance.getObserved().getInstance();
    if (instance.getObserved().getKind() != InstanceKind.INSTANCE_WORKER) {
      return requestsInFlight(new InstanceId(name));
    }
    int running = 0;
    for (JobImage job : agreed.jobs(new PoolId(instance.getPool()), JobPhase.JOB_RUNNING)) {
      if (job.getWorker().equals(name)) {
        running++;
      }
    }
    return running;
  }

  @Override
  public int requestsInFlight(InstanceId endpoint) {
    return endpoints.totalInFlight(endpoint);
  }
}
