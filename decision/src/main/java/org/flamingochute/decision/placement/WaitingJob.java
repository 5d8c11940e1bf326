package org.flamingochute.decision.placement;

import java.util.Set;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.TeamId;

/**
 * A job that waits for a worker.
 *
 * @param job the job
 * @param team the team that owns it
 * @param declared the size that its submitter declared
 * @param submittedMilliseconds when it was submitted
 * @param deadlineMilliseconds when it should have ended; 0 for none
 * @param urgent whether it takes precedence over all other jobs of its team
 * @param idempotent whether it may be stopped and run again
 * @param failedWorkers the workers on which it failed
 */
public record WaitingJob(
    JobId job,
    TeamId team,
    ResourceVector declared,
    long submittedMilliseconds,
    long deadlineMilliseconds,
    boolean urgent,
    boolean idempotent,
    Set<InstanceId> failedWorkers) {

  /** Copies the set. */
  public WaitingJob {
    failedWorkers = Set.copyOf(failedWorkers);
  }

  /** Returns the deadline for ordering: jobs without one come last. */
  long orderingDeadline() {
    return deadlineMilliseconds == 0 ? Long.MAX_VALUE : deadlineMilliseconds;
  }

  /** Returns a builder. */
  public static Builder builder(JobId job, TeamId team) {
    return new Builder(job, team);
  }

  /** Builds a waiting job; fields that are not set are zero, false or empty. */
  public static final class Builder {

    private final JobId job;
    private final TeamId team;
    private ResourceVector declared = ResourceVector.ZERO;
    private long submittedMilliseconds;
    private long deadlineMilliseconds;
    private boolean urgent;
    private boolean idempotent;
    private Set<InstanceId> failedWorkers = Set.of();

    private Builder(JobId job, TeamId team) {
      this.job = job;
      this.team = team;
    }

    /** Sets the declared size. */
    public Builder declared(ResourceVector value) {
      declared = value;
      return this;
    }

    /** Sets the time of submission, in milliseconds since the epoch. */
    public Builder submittedMilliseconds(long value) {
      submittedMilliseconds = value;
      return this;
    }

    /** Sets the deadline, in milliseconds since the epoch; 0 for none. */
    public Builder deadlineMilliseconds(long value) {
      deadlineMilliseconds = value;
      return this;
    }

    /** Sets whether the job is urgent. */
    public Builder urgent(boolean value) {
      urgent = value;
      return this;
    }

    /** Sets whether the job may run again. */
    public Builder idempotent(boolean value) {
      idempotent = value;
      return this;
    }

    /** Sets the workers on which the job failed. */
    public Builder failedWorkers(Set<InstanceId> value) {
      failedWorkers = value;
      return this;
    }

    /** Returns the waiting job. */
    public WaitingJob build() {
      return new WaitingJob(
          job,
          team,
          declared,
          submittedMilliseconds,
          deadlineMilliseconds,
          urgent,
          idempotent,
          failedWorkers);
    }
  }
}
