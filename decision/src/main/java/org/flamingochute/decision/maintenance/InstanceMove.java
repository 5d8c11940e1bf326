package org.flamingochute.decision.maintenance;

import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.PoolId;

/**
 * A move of an instance between pools.
 *
 * @param instance the instance
 * @param from the pool that it belongs to now
 * @param to the pool that it moves to
 */
public record InstanceMove(InstanceId instance, PoolId from, PoolId to) {}
