package org.flamingochute.decision.identity;

/**
 * Identifies one task of a job.
 *
 * @param job the job
 * @param occurrence number of the repetition of the job, from 0
 * @param step position of the task's step in the job, from 0
 * @param index position of the task in its step, from 0
 */
public record TaskId(JobId job, int occurrence, int step, int index) {

  /** Checks the parts. */
  public TaskId {
    if (occurrence < 0 || step < 0 || index < 0) {
      throw new IllegalArgumentException(
          "negative part in task " + job + " " + occurrence + " " + step + " " + index);
    }
  }

  @Override
  public String toString() {
    return job + "." + occurrence + "." + step + "." + index;
  }
}
