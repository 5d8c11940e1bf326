package org.flamingochute.decision.placement;

import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.TeamId;

/**
 * A job that runs on a worker or was dispatched to it.
 *
 * @param job the job
 * @param team the team that owns it
 * @param worker the worker
 * @param declared the size that its submitter declared
 * @param startedMilliseconds when the attempt was accepted
 * @param urgent whether it is urgent
 * @param idempotent whether it may be stopped and run again
 * @param stopping whether its stop was already requested
 */
public record RunningJob(
    JobId job,
    TeamId team,
    InstanceId worker,
    ResourceVector declared,
    long startedMilliseconds,
    boolean urgent,
    boolean idempotent,
    boolean stopping) {}
