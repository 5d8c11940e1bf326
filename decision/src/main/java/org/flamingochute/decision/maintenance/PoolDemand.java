package org.flamingochute.decision.maintenance;

import org.flamingochute.decision.identity.PoolId;

/**
 * The demand of a pool at a point in time.
 *
 * @param pool the pool
 * @param size number of instances of the pool in the fleet description
 * @param minimumAvailable number of instances that must stay available
 * @param instancesNeeded number of instances that its current load requires
 */
public record PoolDemand(PoolId pool, int size, int minimumAvailable, double instancesNeeded) {}
