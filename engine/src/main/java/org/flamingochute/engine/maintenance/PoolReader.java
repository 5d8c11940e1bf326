package org.flamingochute.engine.maintenance;

import java.util.ArrayList;
import java.util.List;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.RackId;
import org.flamingochute.decision.maintenance.InstanceCondition;
import org.flamingochute.decision.maintenance.PoolInstance;
import org.flamingochute.decision.maintenance.PoolStopLimits;
import org.flamingochute.schema.InstanceImage;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.PoolSection;

/** Converts instances and pools of the agreed state to the planners' inputs. */
final class PoolReader {

  private static final String UNKNOWN_LOCATION = "unnamed";

  private final AgreedView agreed;
  private final InstanceWorkload workload;

  PoolReader(AgreedView agreed, InstanceWorkload workload) {
    this.agreed = agreed;
    this.workload = workload;
  }

  /** Returns the instances of a pool. */
  List<PoolInstance> instances(PoolId pool) {
    List<PoolInstance> instances = new ArrayList<>();
    for (InstanceImage image : agreed.instances(pool)) {
      instances.add(instance(image));
    }
    return instances;
  }

  /** Returns the limits on stops in a pool. */
  PoolStopLimits stopLimits(PoolId pool) {
    PoolSection section =
        agreed
            .description()
            .getPoolsMap()
            .getOrDefault(pool.value(), PoolSection.getDefaultInstance());
    return new PoolStopLimits(
        pool, section.getMinimumAvailable(), section.getMaximumStoppedDomains());
  }

  private PoolInstance instance(InstanceImage image) {
    return new PoolInstance(
        new InstanceId(image.getObserved().getInstance()),
        new PoolId(image.getPool()),
        new DataCentreId(locationName(image.getObserved().getDataCentre())),
        new RackId(locationName(image.getObserved().getRack())),
        condition(image),
        workload.inFlight(image));
  }

  private static InstanceCondition condition(InstanceImage image) {
    if (image.hasStop()) {
      return InstanceCondition.STOPPED;
    }
    if (image.getObserved().getState() == InstanceState.INSTANCE_LIVE) {
      return InstanceCondition.AVAILABLE;
    }
    return InstanceCondition.DOWN;
  }

  private static String locationName(String listed) {
    return listed.isEmpty() ? UNKNOWN_LOCATION : listed;
  }
}
