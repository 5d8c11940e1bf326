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
 * Estimates how many instances the present load of a pool would fill.
 *
 * <p>A pool of runners needs the requests in flight, and those that wait here taken as the mean of
 * all entries, divided by the slots of a runner. A pool of workers needs the declared sizes of its
 * waiting and running jobs, divided by the mean size of its workers in the scarcest resource.
 */
public final class DemandEstimator {

  private final AgreedView agreed;
  private final ToIntFunction<InstanceId> requestsInFlight;
  private final ToIntFunction<ServiceId> waiting;

  /**
   * Creates an estimator.
   *
   * @param requestsInFlight gives the requests in flight at an endpoint, of all entries
   * @param waiting gives the requests of a service that wait at this entry
   */
  public DemandEstimator(
      AgreedView agreed,
      ToIntFunction<InstanceId> requestsInFlight,
      ToIntFunction<ServiceId> waiting) {
    this.agreed = agreed;
    this.requestsInFlight = requestsInFlight;
    this.waiting = waiting;
  }

  /** Returns the instances that the load of a pool of runners would fill. */
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
        requests += entries * waiting.applyAsInt(new ServiceId(service.getKey()));
      }
    }
    return slots == 0 ? 0 : requests / slots;
  }

  /** Returns the instances that the jobs of a pool of workers would fill. */
  double workersNeeded(PoolId pool) {
    ResourceVector mean = meanCapacity(agreed.instances(pool));
    ResourceVector demand = ResourceVector.ZERO;
    for (JobPhase phase : List.of(JobPhase.JOB_WAITING, JobPhase.JOB_RUNNING)) {
      for (JobImage job : agreed.jobs(pool, phase)) {
        demand = demand.plus(ResourceVector.of(job.getSubmitted().getDeclared()));
      }
    }
    return mean.equals(ResourceVector.ZERO) ? 0 : demand.dominantPart(mean);
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
