package org.flamingochute.engine.maintenance;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.ServiceId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.schema.InstanceImage;
import org.flamingochute.schema.JobImage;
import org.flamingochute.schema.JobPhase;
import org.flamingochute.schema.ServiceSection;

/**
 * Estimates how many instances the current load of a pool would fill.
 *
 * <p>The demand of a runner pool is the number of its requests in flight and waiting, divided by
 * the slots of a runner, the highest number among the pool's services; the number waiting is
 * extrapolated from this entry to all entries. The demand of a worker pool is the sum of the
 * declared resources of its waiting and running jobs, divided by the mean capacity of its workers,
 * in the scarcest resource.
 */
public final class DemandEstimator {

  private final AgreedView agreed;
  private final ToIntFunction<InstanceId> requestsInFlight;
  private final ToIntFunction<ServiceId> waitingRequests;

  /**
   * Creates an estimator.
   *
   * @param requestsInFlight returns the requests in flight at an endpoint, from all entries
   * @param waitingRequests returns the requests of a service that wait at this entry
   */
  public DemandEstimator(
      AgreedView agreed,
      ToIntFunction<InstanceId> requestsInFlight,
      ToIntFunction<ServiceId> waitingRequests) {
    this.agreed = agreed;
    this.requestsInFlight = requestsInFlight;
    this.waitingRequests = waitingRequests;
  }

  /** Returns the number of instances that the load of a runner pool would fill. */
  double runnersNeeded(PoolId pool) {
    double slots = 0;
    double requests = 0;
    for (InstanceImage instance : agreed.instances(pool)) {
      requests += requestsInFlight.applyAsInt(new InstanceId(instance.getObserved().getInstance()));
    }
    int entries = Math.max(1, agreed.members().size());
    for (Map.Entry<String, ServiceSection> service :
        agreed.description().getServicesMap().entrySet()) {
      if (service.getValue().getPool().equals(pool.value())) {
        slots = Math.max(slots, service.getValue().getSlots());
        requests += entries * waitingRequests.applyAsInt(new ServiceId(service.getKey()));
      }
    }
    return slots == 0 ? 0 : requests / slots;
  }

  /** Returns the number of instances that the jobs of a worker pool would fill. */
  double workersNeeded(PoolId pool) {
    ResourceVector meanWorker = meanCapacity(agreed.instances(pool));
    ResourceVector demand = ResourceVector.ZERO;
    for (JobPhase phase : List.of(JobPhase.JOB_WAITING, JobPhase.JOB_RUNNING)) {
      for (JobImage job : agreed.jobs(pool, phase)) {
        demand = demand.plus(ResourceVector.of(job.getSubmitted().getDeclared()));
      }
    }
    return meanWorker.equals(ResourceVector.ZERO) ? 0 : demand.dominantShare(meanWorker);
  }

  private static ResourceVector meanCapacity(Collection<InstanceImage> instances) {
    ResourceVector total = ResourceVector.ZERO;
    for (InstanceImage instance : instances) {
      total = total.plus(ResourceVector.of(instance.getObserved().getCapacity()));
    }
    int count = Math.max(1, instances.size());
    return new ResourceVector(
        total.processorMillicores() / count,
        total.memoryMebibytes() / count,
        total.accelerators() / count);
  }
}
