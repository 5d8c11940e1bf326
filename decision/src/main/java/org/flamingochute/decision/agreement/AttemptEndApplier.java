package org.flamingochute.decision.agreement;

import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.identity.Identifiers;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.schema.AttemptResult;
import org.flamingochute.schema.InstanceImage;
import org.flamingochute.schema.JobAttemptEnded;
import org.flamingochute.schema.JobImage;
import org.flamingochute.schema.JobPhase;
import org.flamingochute.schema.PlacerImage;

/**
 * Applies the ends of attempts: determines the next phase of the job and updates the failure count
 * of the worker.
 *
 * <p>A job that is not idempotent is retried only after an attempt that never began. If the outcome
 * of the attempt is unknown, so is the outcome of the job; a failure parks the job, since it did
 * begin. A job whose cancellation was requested is cancelled instead of being retried or parked.
 *
 * <p>An idempotent job that failed waits for its next attempt, until it has failed on {@value
 * #FAILED_HEALTHY_WORKERS_TO_PARK} healthy workers, or on {@value #FAILED_WORKERS_TO_PARK} workers
 * in any condition, or on every worker of the pool; then it is parked. A worker is healthy while
 * fewer than {@value #FAILURES_OF_UNHEALTHY_WORKER} different jobs in a row have failed on it. When
 * such a job is parked, its failures are subtracted from the counts of its workers, so that a job
 * that can never succeed does not make workers count as unhealthy for long.
 */
final class AttemptEndApplier {

  /** Number of distinct healthy workers on which a job must fail to be parked. */
  static final int FAILED_HEALTHY_WORKERS_TO_PARK = 3;

  /** Number of distinct workers, healthy or not, on which a job must fail to be parked. */
  static final int FAILED_WORKERS_TO_PARK = 5;

  /** Number of distinct jobs in a row that must fail on a worker to make it unhealthy. */
  static final int FAILURES_OF_UNHEALTHY_WORKER = 3;

  private final JobTable jobs;
  private final PlacerTable placers;
  private final InstanceTable instances;
  private final EscrowTable escrows;

  AttemptEndApplier(
      JobTable jobs, PlacerTable placers, InstanceTable instances, EscrowTable escrows) {
    this.jobs = jobs;
    this.placers = placers;
    this.instances = instances;
    this.escrows = escrows;
  }

  /** Ends the running attempt of a job; its token is issued again. */
  ApplyResult end(JobAttemptEnded ended, ApplyPosition position) {
    Optional<JobImage> found =
        Identifiers.isValid(ended.getJob())
            ? jobs.job(new JobId(ended.getJob()))
            : Optional.empty();
    if (found.isEmpty()) {
      return ApplyResults.refused(ErrorCode.JOB_UNKNOWN, ended.getJob());
    }
    JobImage job = found.get();
    boolean isRunningAttempt =
        job.getPhase() == JobPhase.JOB_RUNNING
            && job.getAttempts() == ended.getAttempt()
            && job.getWorker().equals(ended.getWorker());
    if (!isRunningAttempt) {
      String phase = job.getPhase() + " at attempt " + job.getAttempts() + " on " + job.getWorker();
      return ApplyResults.refused(ErrorCode.JOB_WRONG_PHASE, ended.getJob(), phase);
    }
    Optional<ApplyResult> invalid = checkResult(ended, position);
    if (invalid.isPresent()) {
      return invalid.get();
    }
    jobs.changeJob(new JobId(ended.getJob()), running -> afterAttempt(running, ended, position));
    escrows.jobEnded(new TeamId(job.getSubmitted().getTeam()), placerOf(job));
    return ApplyResults.accepted();
  }

  private static Optional<ApplyResult> checkResult(JobAttemptEnded ended, ApplyPosition position) {
    boolean isKnown =
        ended.getResult() != AttemptResult.ATTEMPT_RESULT_UNSPECIFIED
            && ended.getResult() != AttemptResult.UNRECOGNIZED;
    return new RecordFieldValidator(position)
        .require("result", ended.getResultValue(), isKnown, "unknown result")
        .refusal();
  }

  private Optional<Incarnation> placerOf(JobImage job) {
    return placers
        .placer(new PoolId(job.getSubmitted().getPool()))
        .map(PlacerImage::getIncarnation)
        .filter(Identifiers::isValid)
        .map(Incarnation::new);
  }

  private JobImage afterAttempt(JobImage job, JobAttemptEnded ended, ApplyPosition position) {
    JobImage.Builder result = job.toBuilder();
    if (ended.hasObservedPeak()) {
      result.setObservedPeak(ended.getObservedPeak());
    }
    return switch (ended.getResult()) {
      case ATTEMPT_SUCCEEDED -> {
        resetFailures(ended.getWorker());
        yield endJob(result, JobPhase.JOB_SUCCEEDED, ended.getDetail(), position);
      }
      case ATTEMPT_FAILED -> afterFailure(result, ended, position);
      case ATTEMPT_NOT_RUN -> requeue(result, position);
      default -> afterUnknownOutcome(result, ended, position);
    };
  }

  private JobImage afterUnknownOutcome(
      JobImage.Builder job, JobAttemptEnded ended, ApplyPosition position) {
    boolean wasCancelledOnRequest =
        ended.getResult() == AttemptResult.ATTEMPT_CANCELLED && job.getCancelRequested();
    if (job.getSubmitted().getIdempotent() || wasCancelledOnRequest) {
      return requeue(job, position);
    }
    return endJob(job, JobPhase.JOB_OUTCOME_UNKNOWN, ended.getDetail(), position);
  }

  private JobImage afterFailure(
      JobImage.Builder job, JobAttemptEnded ended, ApplyPosition position) {
    if (!job.getFailedWorkersList().contains(ended.getWorker())) {
      job.addFailedWorkers(ended.getWorker());
      addFailures(ended.getWorker(), 1);
    }
    if (job.getCancelRequested()) {
      return endJob(job, JobPhase.JOB_CANCELLED, "", position);
    }
    if (!job.getSubmitted().getIdempotent()) {
      String reason = "failed on " + ended.getWorker() + ": " + ended.getDetail();
      return endJob(job, JobPhase.JOB_PARKED, reason, position);
    }
    if (shouldPark(job)) {
      job.getFailedWorkersList().forEach(worker -> addFailures(worker, -1));
      String workers = String.join(", ", job.getFailedWorkersList());
      String reason = "failed on " + workers + ": " + ended.getDetail();
      return endJob(job, JobPhase.JOB_PARKED, reason, position);
    }
    return requeue(job, position);
  }

  private boolean shouldPark(JobImage.Builder job) {
    List<String> failed = job.getFailedWorkersList();
    int healthyCount = 0;
    for (String worker : failed) {
      if (isHealthy(worker)) {
        healthyCount++;
      }
    }
    if (healthyCount >= FAILED_HEALTHY_WORKERS_TO_PARK || failed.size() >= FAILED_WORKERS_TO_PARK) {
      return true;
    }
    return failedOnAllWorkers(job);
  }

  private boolean failedOnAllWorkers(JobImage.Builder job) {
    List<InstanceImage> workers =
        instances.presentInstances(new PoolId(job.getSubmitted().getPool()));
    for (InstanceImage worker : workers) {
      if (!job.getFailedWorkersList().contains(worker.getObserved().getInstance())) {
        return false;
      }
    }
    return !workers.isEmpty();
  }

  private boolean isHealthy(String worker) {
    return instances
        .instance(new InstanceId(worker))
        .filter(instance -> instance.getFailedJobs() >= FAILURES_OF_UNHEALTHY_WORKER)
        .isEmpty();
  }

  private void addFailures(String worker, int difference) {
    instances.changeInstance(
        new InstanceId(worker),
        instance ->
            instance.toBuilder()
                .setFailedJobs(Math.max(0, instance.getFailedJobs() + difference))
                .build());
  }

  private void resetFailures(String worker) {
    instances.changeInstance(
        new InstanceId(worker), instance -> instance.toBuilder().clearFailedJobs().build());
  }

  private static JobImage requeue(JobImage.Builder job, ApplyPosition position) {
    if (job.getCancelRequested()) {
      return endJob(job, JobPhase.JOB_CANCELLED, "", position);
    }
    return job.setPhase(JobPhase.JOB_WAITING).clearWorker().clearHolder().build();
  }

  private static JobImage endJob(
      JobImage.Builder job, JobPhase phase, String reason, ApplyPosition position) {
    return job.setPhase(phase)
        .setReason(reason)
        .setEndedMilliseconds(position.timeMilliseconds())
        .build();
  }
}
