package org.flamingochute.decision.maintenance;

import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.RackId;

/**
 * An instance, as input of the planners.
 *
 * @param instance the instance
 * @param pool the pool that it belongs to
 * @param dataCentre its data centre
 * @param rack its rack; racks of different data centres are different even under the same name
 * @param condition whether it can accept work
 * @param inFlight number of requests or jobs in progress on it
 */
public record PoolInstance(
    InstanceId instance,
    PoolId pool,
    DataCentreId dataCentre,
    RackId rack,
    InstanceCondition condition,
    int inFlight) {

  /** Returns its failure domain. */
  public FailureDomain domain() {
    return new FailureDomain(dataCentre, rack);
  }

  /** Returns whether it can accept work. */
  public boolean isAvailable() {
    return condition == InstanceCondition.AVAILABLE;
  }
}
