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
 * Folds the ends of attempts: what becomes of the job, and what is learned about the worker.
 *
 * <p>A job that is not idempotent is attempted again only after an attempt that never began. An
 * unknown end is reported as such; a failure parks the job, since it did begin.
 *
 * <p>An idempotent job that failed goes back to wait, until it has failed on {@value
 * #GOOD_WORKERS_TO_PARK} workers that are good, or on {@value #WORKERS_TO_PARK} of any kind, or on
 * every worker of the pool; then it is parked. A worker is good while fewer than {@value
 * #FAILURES_OF_BAD_WORKER} different jobs failed on it with no success between. When a job is
 * parked the failures that it caused are taken back from its workers, so that jobs that can never
 * run give no worker a bad name for long.
 */
final class AttemptEndFolder {

  /** Distinct good workers on which a job fails before it is parked. */
  static final int GOOD_WORKERS_TO_PARK = 3;

  /** Distinct workers on which a job fails before it is parked, whatever they are. */
  static final int WORKERS_TO_PARK = 5;

  /** Distinct jobs that fail on a worker in a row before it is no longer counted as good. */
  static final int FAILURES_OF_BAD_WORKER = 3;

  private final JobTable jobs;
  private final PlacerTable placers;
  private final InstanceTable instances;
  private final EscrowTable escrows;

  AttemptEndFolder(
      JobTable jobs, PlacerTable placers, InstanceTable instances, EscrowTable escrows) {
    this.jobs = jobs;
    this.placers = placers;
    this.instances = instances;
    this.escrows = escrows;
  }

  /** Ends the running attempt of a job; its token is minted again. */
  FoldResult end(JobAttemptEnded ended, FoldPosition position) {
    Optional<JobImage> found =
        Identifiers.isValid(ended.getJob())
            ? jobs.job(new JobId(ended.getJob()))
            : Optional.empty();
    if (found.isEmpty()) {
      return FoldResults.refused(ErrorCode.JOB_UNKNOWN, ended.getJob());
    }
    JobImage job = found.get();
    boolean isRunningAttempt =
        job.getPhase() == JobPhase.JOB_RUNNING
            && job.getAttempts() == ended.getAttempt()
            && job.getWorker().equals(ended.getWorker());
    if (!isRunningAttempt) {
      String phase = job.getPhase() + " at attempt " + job.getAttempts() + " on " + job.getWorker();
      return FoldResults.refused(ErrorCode.JOB_WRONG_PHASE, ended.getJob(), phase);
    }
    Optional<FoldResult> invalid = checkResult(ended, position);
    if (invalid.isPresent()) {
      return invalid.get();
    }
    jobs.change(new JobId(ended.getJob()), running -> afterAttempt(running, ended, position));
    escrows.jobEnded(new TeamId(job.getSubmitted().getTeam()), placerOf(job));
    return FoldResults.accepted();
  }

  private static Optional<FoldResult> checkResult(JobAttemptEnded ended, FoldPosition position) {
    boolean isKnown =
        ended.getResult() != AttemptResult.ATTEMPT_RESULT_UNSPECIFIED
            && ended.getResult() != AttemptResult.UNRECOGNIZED;
    return new FieldCheck(position)
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

  private JobImage afterAttempt(JobImage job, JobAttemptEnded ended, FoldPosition position) {
    JobImage.Builder result = job.toBuilder();
    if (ended.hasObservedPeak()) {
      result.setObservedPeak(ended.getObservedPeak());
    }
    return switch (ended.getResult()) {
      case ATTEMPT_SUCCEEDED -> {
        resetFailures(ended.getWorker());
        yield finish(result, JobPhase.JOB_SUCCEEDED, ended.getDetail(), position);
      }
      case ATTEMPT_FAILED -> afterFailure(result, ended, position);
      case ATTEMPT_NOT_RUN -> waitAgain(result, position);
      default -> afterUnknown(result, ended, position);
    };
  }

  private JobImage afterUnknown(
      JobImage.Builder job, JobAttemptEnded ended, FoldPosition position) {
    boolean wasStoppedAsAsked =
        ended.getResult() == AttemptResult.ATTEMPT_CANCELLED && job.getCancelRequested();
    if (job.getSubmitted().getIdempotent() || wasStoppedAsAsked) {
      return waitAgain(job, position);
    }
    return finish(job, JobPhase.JOB_OUTCOME_UNKNOWN, ended.getDetail(), position);
  }

  private JobImage afterFailure(
      JobImage.Builder job, JobAttemptEnded ended, FoldPosition position) {
    if (!job.getFailedWorkersList().contains(ended.getWorker())) {
      job.addFailedWorkers(ended.getWorker());
      addFailures(ended.getWorker(), 1);
    }
    if (job.getCancelRequested()) {
      return finish(job, JobPhase.JOB_CANCELLED, "", position);
    }
    if (!job.getSubmitted().getIdempotent()) {
      String reason = "failed on " + ended.getWorker() + ": " + ended.getDetail();
      return finish(job, JobPhase.JOB_PARKED, reason, position);
    }
    if (isHopeless(job)) {
      job.getFailedWorkersList().forEach(worker -> addFailures(worker, -1));
      String workers = String.join(", ", job.getFailedWorkersList());
      String reason = "failed on " + workers + ": " + ended.getDetail();
      return finish(job, JobPhase.JOB_PARKED, reason, position);
    }
    return waitAgain(job, position);
  }

  private boolean isHopeless(JobImage.Builder job) {
    List<String> failed = job.getFailedWorkersList();
    int good = 0;
    for (String worker : failed) {
      if (isGood(worker)) {
        good++;
      }
    }
    if (good >= GOOD_WORKERS_TO_PARK || failed.size() >= WORKERS_TO_PARK) {
      return true;
    }
    return failedEverywhere(job);
  }

  private boolean failedEverywhere(JobImage.Builder job) {
    List<InstanceImage> workers = instances.present(new PoolId(job.getSubmitted().getPool()));
    for (InstanceImage worker : workers) {
      if (!job.getFailedWorkersList().contains(worker.getObserved().getInstance())) {
        return false;
      }
    }
    return !workers.isEmpty();
  }

  private boolean isGood(String worker) {
    return instances
        .instance(new InstanceId(worker))
        .filter(instance -> instance.getFailedJobs() >= FAILURES_OF_BAD_WORKER)
        .isEmpty();
  }

  private void addFailures(String worker, int difference) {
    instances.change(
        new InstanceId(worker),
        instance ->
            instance.toBuilder()
                .setFailedJobs(Math.max(0, instance.getFailedJobs() + difference))
                .build());
  }

  private void resetFailures(String worker) {
    instances.change(
        new InstanceId(worker), instance -> instance.toBuilder().clearFailedJobs().build());
  }

  private static JobImage waitAgain(JobImage.Builder job, FoldPosition position) {
    if (job.getCancelRequested()) {
      return finish(job, JobPhase.JOB_CANCELLED, "", position);
    }
    return job.setPhase(JobPhase.JOB_WAITING).clearWorker().clearHolder().build();
  }

  private static JobImage finish(
      JobImage.Builder job, JobPhase phase, String reason, FoldPosition position) {
    return job.setPhase(phase)
        .setReason(reason)
        .setEndedMilliseconds(position.timeMilliseconds())
        .build();
  }
}
