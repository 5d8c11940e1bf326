package org.flamingochute.decision.maintenance;

import org.flamingochute.decision.identity.PoolId;

/**
 * The limits of planned stops in a pool.
 *
 * @param pool the pool
 * @param minimumAvailable number of instances that must stay available
 * @param maximumStoppedDomains maximum number of failure domains with planned stops at once
 */
public record PoolStopLimits(PoolId pool, int minimumAvailable, int maximumStoppedDomains) {}
