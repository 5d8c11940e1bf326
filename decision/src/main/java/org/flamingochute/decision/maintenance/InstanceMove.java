package org.flamingochute.decision.maintenance;

import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.PoolId;

/**
 * A move of an instance between pools.
 *
 * @param instance the instance
 * @param from the pool that it belongs to
 * @param to the pool that it is to belong to
 */
public record InstanceMove(InstanceId instance, PoolId from, PoolId to) {}
