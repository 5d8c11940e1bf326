package org.flamingochute.decision.maintenance;

import org.flamingochute.decision.identity.PoolId;

/**
 * The demand of a pool at one time.
 *
 * @param pool the pool
 * @param size instances that the pool is to hold by the description
 * @param minimumAvailable its availability budget
 * @param instancesNeeded instances that its present load would fill
 */
public record PoolDemand(PoolId pool, int size, int minimumAvailable, double instancesNeeded) {}
