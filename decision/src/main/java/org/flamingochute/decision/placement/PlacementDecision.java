package org.flamingochute.decision.placement;

import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;

/** One decision of a placement policy, carried out by the placer. */
public sealed interface PlacementDecision {

  /**
   * Start a waiting job.
   *
   * @param job the job
   * @param worker the worker to start it on
   */
  record Start(JobId job, InstanceId worker) implements PlacementDecision {}

  /**
   * Stop a running job to free capacity for an urgent one. The job is idempotent and waits for its
   * next attempt after the stop; the urgent job is placed once the capacity is free.
   *
   * @param job the job to stop
   * @param worker the worker that runs it
   * @param urgentJob the job that needs the capacity
   */
  record Preempt(JobId job, InstanceId worker, JobId urgentJob) implements PlacementDecision {}

  /**
   * Park a waiting job, which then needs the attention of a person.
   *
   * @param job the job
   * @param reason why it cannot run
   */
  record Park(JobId job, String reason) implements PlacementDecision {}
}
