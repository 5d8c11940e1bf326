package org.flamingochute.engine.job;

import org.flamingochute.decision.identity.JobId;
import org.flamingochute.schema.JobImage;

/**
 * Identifies one attempt of a job.
 *
 * @param job the job
 * @param attempt number of the attempt, from 1
 */
record AttemptId(JobId job, int attempt) {

  /** Returns the newest attempt of a job. */
  static AttemptId newest(JobImage job) {
    return new AttemptId(new JobId(job.getSubmitted().getJob()), job.getAttempts());
  }
}
