package org.flamingochute.decision.maintenance;

import org.flamingochute.decision.identity.PoolId;

/**
 * What planned stops must leave of a pool.
 *
 * @param pool the pool
 * @param minimumAvailable instances that stay available
 * @param maximumStoppedDomains failure domains in which planned stops may be under way at once
 */
public record PoolGuard(PoolId pool, int minimumAvailable, int maximumStoppedDomains) {}
