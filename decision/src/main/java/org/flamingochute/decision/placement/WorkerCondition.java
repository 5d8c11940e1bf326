package org.flamingochute.decision.placement;

import org.flamingochute.decision.identity.InstanceId;

/**
 * A worker that may get jobs: live, not leaving and not stopped.
 *
 * @param worker the worker
 * @param capacity what it has in all
 */
public record WorkerCondition(InstanceId worker, ResourceVector capacity) {}
