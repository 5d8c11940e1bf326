package org.flamingochute.decision.placement;

import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;

/** One step that a placer takes. */
public sealed interface PlacementDecision {

  /**
   * Start a waiting job.
   *
   * @param job the job
   * @param worker the worker to start it on
   */
  record Start(JobId job, InstanceId worker) implements PlacementDecision {}

  /**
   * Stop a running job to make room for an urgent one. The job is idempotent and waits again after
   * the stop; the urgent one is placed when the room is free.
   *
   * @param job the job to stop
   * @param worker the worker that runs it
   * @param urgentJob the job that needs the room
   */
  record Preempt(JobId job, InstanceId worker, JobId urgentJob) implements PlacementDecision {}

  /**
   * Give a waiting job up for people to look at.
   *
   * @param job the job
   * @param reason why it cannot run
   */
  record Park(JobId job, String reason) implements PlacementDecision {}
}
