package org.flamingochute.decision.agreement;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.fleet.PoolKinds;
import org.flamingochute.decision.identity.IdempotencyKey;
import org.flamingochute.decision.identity.Identifiers;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.InstanceImage;
import org.flamingochute.schema.JobAttemptStarted;
import org.flamingochute.schema.JobImage;
import org.flamingochute.schema.JobParked;
import org.flamingochute.schema.JobPhase;
import org.flamingochute.schema.JobSubmitted;
import org.flamingochute.schema.JobsCancelled;
import org.flamingochute.schema.PlacerImage;
import org.flamingochute.schema.PoolSection;

/**
 * Applies submissions, cancellations, attempt starts and parking of jobs. The ends of attempts are
 * applied by {@link AttemptEndApplier}.
 *
 * <p>An attempt starts only if all of these conditions hold at its position in the log: the job is
 * waiting and this is its next attempt, the writer is a member and the pool's placer in the current
 * epoch, the worker is available in the job's pool, and the debited token belongs to the current
 * escrow epoch, which is not suspended.
 */
final class JobRecordApplier {

  private final JobTable jobs;
  private final PlacerTable placers;
  private final MemberTable members;
  private final InstanceTable instances;
  private final EscrowTable escrows;
  private final Supplier<FleetDescription> description;

  JobRecordApplier(
      JobTable jobs,
      PlacerTable placers,
      MemberTable members,
      InstanceTable instances,
      EscrowTable escrows,
      Supplier<FleetDescription> description) {
    this.jobs = jobs;
    this.placers = placers;
    this.members = members;
    this.instances = instances;
    this.escrows = escrows;
    this.description = description;
  }

  /** Adds a job; refuses a second submission with the same id or idempotency key. */
  ApplyResult submit(JobSubmitted job, ApplyPosition position) {
    Optional<ApplyResult> invalid =
        new RecordFieldValidator(position)
            .requireIdentifier("job", job.getJob())
            .requireIdentifier("team", job.getTeam())
            .requireIdentifier("pool", job.getPool())
            .requireOptionalIdentifier("idempotency_key", job.getIdempotencyKey())
            .refusal();
    if (invalid.isPresent()) {
      return invalid.get();
    }
    Optional<ApplyResult> refusal = submissionRefusal(job);
    if (refusal.isPresent()) {
      return refusal.get();
    }
    jobs.add(
        JobImage.newBuilder()
            .setSubmitted(job)
            .setPhase(JobPhase.JOB_WAITING)
            .setSubmittedMilliseconds(position.timeMilliseconds())
            .build());
    return ApplyResults.accepted();
  }

  private Optional<ApplyResult> submissionRefusal(JobSubmitted job) {
    FleetDescription fleet = description.get();
    if (!fleet.containsTeams(job.getTeam())) {
      return Optional.of(ApplyResults.refused(ErrorCode.TEAM_UNKNOWN, job.getTeam()));
    }
    PoolSection pool = fleet.getPoolsMap().get(job.getPool());
    if (pool == null || !pool.getKind().equals(PoolKinds.WORKER)) {
      return Optional.of(
          ApplyResults.refused(
              ErrorCode.POOL_UNSUITABLE, job.getPool(), "jobs need a pool of workers"));
    }
    if (jobs.job(new JobId(job.getJob())).isPresent()) {
      return Optional.of(ApplyResults.refused(ErrorCode.JOB_EXISTS, job.getJob()));
    }
    return keyRefusal(job);
  }

  private Optional<ApplyResult> keyRefusal(JobSubmitted job) {
    if (job.getIdempotencyKey().isEmpty()) {
      return Optional.empty();
    }
    IdempotencyKey key = new IdempotencyKey(job.getIdempotencyKey());
    Optional<JobImage> earlier = jobs.job(new TeamId(job.getTeam()), key);
    return earlier.map(
        image ->
            ApplyResults.refused(
                ErrorCode.JOB_KEY_USED, key, job.getTeam(), image.getSubmitted().getJob()));
  }

  /** Cancels the given jobs of a team; a running job ends when its attempt does. */
  ApplyResult cancel(JobsCancelled cancelled, ApplyPosition position) {
    boolean anyKnown = false;
    for (String name : cancelled.getJobsList()) {
      Optional<JobImage> job = findJob(name);
      if (job.isPresent() && job.get().getSubmitted().getTeam().equals(cancelled.getTeam())) {
        anyKnown = true;
        cancelJob(new JobId(name), job.get().getPhase(), position);
      }
    }
    if (!anyKnown) {
      return ApplyResults.refused(ErrorCode.JOB_UNKNOWN, String.join(", ", firstJobs(cancelled)));
    }
    return ApplyResults.accepted();
  }

  private static List<String> firstJobs(JobsCancelled cancelled) {
    return cancelled.getJobsList().subList(0, Math.min(3, cancelled.getJobsCount()));
  }

  private void cancelJob(JobId id, JobPhase phase, ApplyPosition position) {
    switch (phase) {
      case JOB_WAITING, JOB_PARKED ->
          jobs.changeJob(
              id,
              job ->
                  job.toBuilder()
                      .setPhase(JobPhase.JOB_CANCELLED)
                      .setCancelRequested(true)
                      .setEndedMilliseconds(position.timeMilliseconds())
                      .build());
      case JOB_RUNNING ->
          jobs.changeJob(id, job -> job.toBuilder().setCancelRequested(true).build());
      default -> {
        // A job that has ended keeps its phase.
      }
    }
  }

  /** Starts an attempt; the placer's debited token becomes a running job. */
  ApplyResult start(JobAttemptStarted start) {
    Optional<JobImage> found = findJob(start.getJob());
    if (found.isEmpty()) {
      return ApplyResults.refused(ErrorCode.JOB_UNKNOWN, start.getJob());
    }
    JobImage job = found.get();
    TeamId team = new TeamId(job.getSubmitted().getTeam());
    Optional<ApplyResult> refusal =
        phaseRefusal(job, start)
            .or(() -> placerRefusal(job, start))
            .or(() -> workerRefusal(job, start))
            .or(() -> escrows.startRefusal(team, start.getEscrowEpoch()));
    if (refusal.isPresent()) {
      return refusal.get();
    }
    jobs.changeJob(
        new JobId(start.getJob()),
        waiting ->
            waiting.toBuilder()
                .setPhase(JobPhase.JOB_RUNNING)
                .setAttempts(start.getAttempt())
                .setWorker(start.getWorker())
                .setHolder(start.getIncarnation())
                .build());
    escrows.jobStarted(team);
    return ApplyResults.accepted();
  }

  private static Optional<ApplyResult> phaseRefusal(JobImage job, JobAttemptStarted start) {
    boolean isNext = start.getAttempt() == job.getAttempts() + 1;
    if (job.getPhase() == JobPhase.JOB_WAITING && isNext) {
      return Optional.empty();
    }
    String phase = job.getPhase() + " after attempt " + job.getAttempts();
    return Optional.of(ApplyResults.refused(ErrorCode.JOB_WRONG_PHASE, start.getJob(), phase));
  }

  private Optional<ApplyResult> placerRefusal(JobImage job, JobAttemptStarted start) {
    PoolId pool = new PoolId(job.getSubmitted().getPool());
    Optional<PlacerImage> placer = placers.placer(pool);
    boolean isPlacer =
        Identifiers.isValid(start.getIncarnation())
            && placer.isPresent()
            && placer.get().getEpoch() == start.getPlacerEpoch()
            && placer.get().getIncarnation().equals(start.getIncarnation());
    if (!isPlacer) {
      return Optional.of(
          ApplyResults.refused(
              ErrorCode.PLACER_STALE, start.getPlacerEpoch(), pool, placers.epoch(pool)));
    }
    if (!members.isMember(new Incarnation(start.getIncarnation()))) {
      return Optional.of(ApplyResults.refused(ErrorCode.NOT_A_MEMBER, start.getIncarnation()));
    }
    return Optional.empty();
  }

  private Optional<ApplyResult> workerRefusal(JobImage job, JobAttemptStarted start) {
    if (!Identifiers.isValid(start.getWorker())) {
      return workerUnsuitable(start, "not an identifier");
    }
    Optional<InstanceImage> worker = instances.instance(new InstanceId(start.getWorker()));
    if (worker.isEmpty()) {
      return workerUnsuitable(start, "it is unknown");
    }
    if (!worker.get().getPool().equals(job.getSubmitted().getPool())) {
      return workerUnsuitable(start, "it belongs to pool " + worker.get().getPool());
    }
    if (!InstanceStopGuard.isAvailable(worker.get())) {
      return workerUnsuitable(start, "it is not in service");
    }
    return Optional.empty();
  }

  private static Optional<ApplyResult> workerUnsuitable(JobAttemptStarted start, String reason) {
    return Optional.of(
        ApplyResults.refused(
            ErrorCode.WORKER_UNSUITABLE, start.getWorker(), start.getJob(), reason));
  }

  /** Parks a waiting job with a reason. */
  ApplyResult park(JobParked parked, ApplyPosition position) {
    Optional<JobImage> job = findJob(parked.getJob());
    if (job.isEmpty()) {
      return ApplyResults.refused(ErrorCode.JOB_UNKNOWN, parked.getJob());
    }
    if (job.get().getPhase() != JobPhase.JOB_WAITING) {
      return ApplyResults.refused(ErrorCode.JOB_WRONG_PHASE, parked.getJob(), job.get().getPhase());
    }
    parkWaiting(new JobId(parked.getJob()), parked.getReason(), position);
    return ApplyResults.accepted();
  }

  /** Parks the waiting jobs of teams that were removed from the description. */
  void parkJobsOfRemovedTeams(
      FleetDescription before, FleetDescription after, ApplyPosition position) {
    for (String team : before.getTeamsMap().keySet()) {
      if (after.containsTeams(team)) {
        continue;
      }
      for (JobImage job : jobs.waitingJobs(new TeamId(team))) {
        parkWaiting(new JobId(job.getSubmitted().getJob()), "team was removed", position);
      }
    }
  }

  private void parkWaiting(JobId id, String reason, ApplyPosition position) {
    jobs.changeJob(
        id,
        job ->
            job.toBuilder()
                .setPhase(JobPhase.JOB_PARKED)
                .setReason(reason)
                .setEndedMilliseconds(position.timeMilliseconds())
                .build());
  }

  private Optional<JobImage> findJob(String name) {
    if (!Identifiers.isValid(name)) {
      return Optional.empty();
    }
    return jobs.job(new JobId(name));
  }
}
