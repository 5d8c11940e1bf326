package org.flamingochute.scheduling.fleet;

import org.flamingochute.decision.identity.PoolId;

/**
 * A declared pool of workers that runs the tasks of one service.
 *
 * @param id name of the pool and of its service
 * @param enforcesCapacity true when the pool's workers refuse tasks that do not fit
 * @param standby true when the pool's machines are switched off and cost nothing
 */
public record Pool(PoolId id, boolean enforcesCapacity, boolean standby) {}
