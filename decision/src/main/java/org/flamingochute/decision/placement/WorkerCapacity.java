package org.flamingochute.decision.placement;

import org.flamingochute.decision.identity.InstanceId;

/**
 * A worker to which jobs may be assigned: live, not leaving and not being stopped.
 *
 * @param worker the worker
 * @param capacity its total capacity
 */
public record WorkerCapacity(InstanceId worker, ResourceVector capacity) {}
