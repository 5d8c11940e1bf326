package org.flamingochute.engine.job;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.decision.misc.LogText;
import org.flamingochute.decision.placement.PlacementDecision;
import org.flamingochute.decision.placement.PlacementInput;
import org.flamingochute.decision.placement.PlacementPolicy;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.decision.placement.RunningJob;
import org.flamingochute.decision.placement.TeamQuota;
import org.flamingochute.decision.placement.WaitingJob;
import org.flamingochute.decision.placement.WorkerCapacity;
import org.flamingochute.engine.log.LogAppender;
import org.flamingochute.engine.request.WorkGate;
import org.flamingochute.engine.task.SerialTask;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.InstanceImage;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.JobImage;
import org.flamingochute.schema.JobParked;
import org.flamingochute.schema.JobPhase;
import org.flamingochute.schema.LogRecord;
import org.flamingochute.schema.TeamSection;

/**
 * Places the jobs of one pool while this entry is the pool's placer.
 *
 * <p>Each run builds the policy's input from the agreed state and the attempt records in progress,
 * and executes the policy's decisions. Jobs whose attempt records are not yet applied count as
 * running, so that no job is started twice and no capacity is allocated twice.
 */
final class JobPlacer {

  private static final long APPEND_TIMEOUT_MILLISECONDS = 5_000;

  /** Lease of a task; it is renewed with each poll of its worker. */
  private static final long LEASE_MILLISECONDS = 10_000;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final PoolId pool;
  private final AgreedView agreed;
  private final PlacerCoordinator coordinator;
  private final JobTokens tokens;
  private final WorkGate gate;
  private final LogAppender appender;
  private final Timers timers;
  private final MetricRegistry metrics;
  private final PlacementPolicy policy;
  private final AttemptEndRecorder endRecorder;
  private final AttemptStarter starter;
  private final WorkerMonitor workerMonitor;
  private final SerialTask placement = new SerialTask(this::placeOnce);
  private final Set<JobId> parking = new HashSet<>();

  JobPlacer(PoolId pool, JobDependencies dependencies, PlacementPolicy policy) {
    this.pool = pool;
    this.agreed = dependencies.agreed();
    this.coordinator = dependencies.coordinator();
    this.tokens = dependencies.tokens();
    this.gate = dependencies.gate();
    this.appender = dependencies.appender();
    this.timers = dependencies.timers();
    this.metrics = dependencies.metrics();
    this.policy = policy;
    this.endRecorder = new AttemptEndRecorder(dependencies);
    this.starter = new AttemptStarter(dependencies, endRecorder, LEASE_MILLISECONDS);
    this.workerMonitor = new WorkerMonitor(dependencies, starter, endRecorder, LEASE_MILLISECONDS);
  }

  /** Returns whether no attempt record is being appended and no attempt is being sent. */
  boolean isIdle() {
    return starter.isIdle();
  }

  /**
   * Renews leases and records the ends of attempts, if this entry is the placer.
   *
   * @param interval minimum time between two polls of a worker
   */
  void pollWorkers(Duration interval) {
    if (coordinator.ownEpoch(pool).isPresent()) {
      workerMonitor.poll(agreed.jobs(pool, JobPhase.JOB_RUNNING), interval);
    }
  }

  /** Starts, stops and parks jobs, if this entry is the placer and accepts new work. */
  void placeJobs() {
    placement.run();
  }

  private void placeOnce() {
    Optional<Long> epoch = coordinator.ownEpoch(pool);
    if (epoch.isEmpty() || gate.newWorkRefusal().isPresent()) {
      return;
    }
    Map<JobId, JobImage> waiting = waiting();
    Collection<JobImage> running = agreed.jobs(pool, JobPhase.JOB_RUNNING);
    stopCancelled(running);
    if (waiting.isEmpty()) {
      return;
    }
    endRecorder.reportObservations(policy);
    PlacementInput input = input(waiting, running);
    for (PlacementDecision decision : policy.decide(input, timers.monotonicMilliseconds())) {
      execute(decision, waiting, epoch.get());
    }
    requestTokens(waiting.values());
  }

  private Map<JobId, JobImage> waiting() {
    Map<JobId, InstanceId> starting = starter.starting();
    Map<JobId, JobImage> waiting = new HashMap<>();
    for (JobImage job : agreed.jobs(pool, JobPhase.JOB_WAITING)) {
      JobId id = new JobId(job.getSubmitted().getJob());
      if (!job.getCancelRequested() && !starting.containsKey(id) && !isParking(id)) {
        waiting.put(id, job);
      }
    }
    return waiting;
  }

  private void stopCancelled(Collection<JobImage> running) {
    for (JobImage job : running) {
      if (job.getCancelRequested() && !endRecorder.isRecording(AttemptId.newest(job))) {
        workerMonitor.stop(job);
      }
    }
  }

  private PlacementInput input(Map<JobId, JobImage> waiting, Collection<JobImage> running) {
    PlacementInput.Builder input = PlacementInput.builder();
    for (InstanceImage worker : agreed.instances(pool)) {
      boolean acceptsWork =
          !worker.hasStop() && worker.getObserved().getState() == InstanceState.INSTANCE_LIVE;
      if (acceptsWork) {
        input.worker(
            new WorkerCapacity(
                new InstanceId(worker.getObserved().getInstance()),
                ResourceVector.of(worker.getObserved().getCapacity())));
      }
    }
    for (JobImage job : agreed.jobs(pool, JobPhase.JOB_WAITING)) {
      if (waiting.containsKey(new JobId(job.getSubmitted().getJob()))) {
        input.waiting(waitingJob(job));
      }
    }
    for (JobImage job : running) {
      input.running(runningJob(job, new InstanceId(job.getWorker())));
    }
    starter.starting().forEach((id, worker) -> addStarting(input, id, worker));
    agreed.description().getTeamsMap().forEach((name, team) -> input.team(teamQuota(name, team)));
    return input.build();
  }

  private void addStarting(PlacementInput.Builder input, JobId id, InstanceId worker) {
    Optional<JobImage> job = agreed.job(id);
    if (job.isPresent() && job.get().getPhase() == JobPhase.JOB_WAITING) {
      input.running(runningJob(job.get(), worker));
    }
  }

  private TeamQuota teamQuota(String name, TeamSection section) {
    TeamId team = new TeamId(name);
    return new TeamQuota(team, section.getShare(), tokens.free(team));
  }

  private static WaitingJob waitingJob(JobImage job) {
    Set<InstanceId> failed = new HashSet<>();
    for (String worker : job.getFailedWorkersList()) {
      failed.add(new InstanceId(worker));
    }
    return WaitingJob.builder(
            new JobId(job.getSubmitted().getJob()), new TeamId(job.getSubmitted().getTeam()))
        .declared(ResourceVector.of(job.getSubmitted().getDeclared()))
        .submittedMilliseconds(job.getSubmittedMilliseconds())
        .deadlineMilliseconds(job.getSubmitted().getDeadlineMilliseconds())
        .urgent(job.getSubmitted().getUrgent())
        .idempotent(job.getSubmitted().getIdempotent())
        .failedWorkers(failed)
        .build();
  }

  private RunningJob runningJob(JobImage job, InstanceId worker) {
    AttemptId attempt = AttemptId.newest(job);
    return new RunningJob(
        attempt.job(),
        new TeamId(job.getSubmitted().getTeam()),
        worker,
        ResourceVector.of(job.getSubmitted().getDeclared()),
        job.getSubmittedMilliseconds(),
        job.getSubmitted().getUrgent(),
        job.getSubmitted().getIdempotent(),
        workerMonitor.isStopping(attempt) || endRecorder.isRecording(attempt));
  }

  private void execute(PlacementDecision decision, Map<JobId, JobImage> waiting, long placerEpoch) {
    switch (decision) {
      case PlacementDecision.Start(JobId job, InstanceId worker) ->
          starter.start(waiting.get(job), worker, placerEpoch);
      case PlacementDecision.Preempt(JobId job, InstanceId worker, JobId urgentJob) ->
          agreed
              .job(job)
              .filter(image -> image.getPhase() == JobPhase.JOB_RUNNING)
              .ifPresent(workerMonitor::stop);
      case PlacementDecision.Park(JobId job, String reason) -> park(job, reason);
    }
  }

  private void park(JobId job, String reason) {
    synchronized (this) {
      if (!parking.add(job)) {
        return;
      }
    }
    metrics.counter("jobs.parked").inc();
    logger.atWarning().log("event=job_parked job=%s reason=%s", job, LogText.quoted(reason));
    JobParked parked = JobParked.newBuilder().setJob(job.value()).setReason(reason).build();
    appender
        .append(LogRecord.newBuilder().setJobParked(parked), APPEND_TIMEOUT_MILLISECONDS)
        .thenAccept(outcome -> finishParking(job));
  }

  private synchronized boolean isParking(JobId job) {
    return parking.contains(job);
  }

  private synchronized void finishParking(JobId job) {
    parking.remove(job);
  }

  private void requestTokens(Collection<JobImage> waiting) {
    Set<TeamId> teamsWithoutTokens = new HashSet<>();
    for (JobImage job : waiting) {
      TeamId team = new TeamId(job.getSubmitted().getTeam());
      if (tokens.free(team) == 0) {
        teamsWithoutTokens.add(team);
      }
    }
    teamsWithoutTokens.forEach(tokens::requestTokens);
  }
}
