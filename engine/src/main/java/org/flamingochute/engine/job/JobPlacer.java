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
import org.flamingochute.decision.placement.TeamPart;
import org.flamingochute.decision.placement.WaitingJob;
import org.flamingochute.decision.placement.WorkerCondition;
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
 * Places the jobs of one pool while this entry holds the pool's placer epoch.
 *
 * <p>Each step builds the policy's input from the agreed state and from what is on its way, and
 * carries out what the policy decides. Jobs whose attempt records are not yet folded count as
 * running, so that no job is started twice and no room is given out twice.
 */
final class JobPlacer {

  private static final long APPEND_MILLISECONDS = 5_000;

  /** Lease of a task, in milliseconds; it is renewed with each look at its worker. */
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
  private final AttemptEnds ends;
  private final AttemptStarter starter;
  private final WorkerWatch watch;
  private final SerialTask step = new SerialTask(this::stepOnce);
  private final Set<JobId> parking = new HashSet<>();

  JobPlacer(PoolId pool, JobParts parts, PlacementPolicy policy) {
    this.pool = pool;
    this.agreed = parts.agreed();
    this.coordinator = parts.coordinator();
    this.tokens = parts.tokens();
    this.gate = parts.gate();
    this.appender = parts.appender();
    this.timers = parts.timers();
    this.metrics = parts.metrics();
    this.policy = policy;
    this.ends = new AttemptEnds(parts);
    this.starter = new AttemptStarter(parts, ends, LEASE_MILLISECONDS);
    this.watch = new WorkerWatch(parts, starter, ends, LEASE_MILLISECONDS);
  }

  /** Tells whether no attempt is on its way into the log or to its worker. */
  boolean isIdle() {
    return starter.isIdle();
  }

  /**
   * Renews leases and records ends, when this entry is the placer.
   *
   * @param interval shortest time between two looks at a worker
   */
  void look(Duration interval) {
    if (coordinator.ownEpoch(pool).isPresent()) {
      watch.look(agreed.jobs(pool, JobPhase.JOB_RUNNING), interval);
    }
  }

  /** Starts, stops and parks jobs, when this entry is the placer and may start work. */
  void step() {
    step.run();
  }

  private void stepOnce() {
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
    ends.teach(policy);
    PlacementInput input = input(waiting, running);
    for (PlacementDecision decision : policy.decide(input, timers.monotonicMilliseconds())) {
      carryOut(decision, waiting, epoch.get());
    }
    askForTokens(waiting.values());
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
      if (job.getCancelRequested() && !ends.isRecording(AttemptId.newest(job))) {
        watch.stop(job);
      }
    }
  }

  private PlacementInput input(Map<JobId, JobImage> waiting, Collection<JobImage> running) {
    PlacementInput.Builder input = PlacementInput.builder();
    for (InstanceImage worker : agreed.instances(pool)) {
      boolean takesWork =
          !worker.hasStop() && worker.getObserved().getState() == InstanceState.INSTANCE_LIVE;
      if (takesWork) {
        input.worker(
            new WorkerCondition(
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
    agreed.description().getTeamsMap().forEach((name, team) -> input.team(part(name, team)));
    return input.build();
  }

  private void addStarting(PlacementInput.Builder input, JobId id, InstanceId worker) {
    Optional<JobImage> job = agreed.job(id);
    if (job.isPresent() && job.get().getPhase() == JobPhase.JOB_WAITING) {
      input.running(runningJob(job.get(), worker));
    }
  }

  private TeamPart part(String name, TeamSection section) {
    TeamId team = new TeamId(name);
    return new TeamPart(team, section.getShare(), tokens.free(team));
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
        watch.isStopping(attempt) || ends.isRecording(attempt));
  }

  private void carryOut(
      PlacementDecision decision, Map<JobId, JobImage> waiting, long placerEpoch) {
    switch (decision) {
      case PlacementDecision.Start(JobId job, InstanceId worker) ->
          starter.start(waiting.get(job), worker, placerEpoch);
      case PlacementDecision.Preempt(JobId job, InstanceId worker, JobId urgentJob) ->
          agreed
              .job(job)
              .filter(image -> image.getPhase() == JobPhase.JOB_RUNNING)
              .ifPresent(watch::stop);
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
        .append(LogRecord.newBuilder().setJobParked(parked), APPEND_MILLISECONDS)
        .thenAccept(outcome -> endParking(job));
  }

  private synchronized boolean isParking(JobId job) {
    return parking.contains(job);
  }

  private synchronized void endParking(JobId job) {
    parking.remove(job);
  }

  private void askForTokens(Collection<JobImage> waiting) {
    Set<TeamId> lacking = new HashSet<>();
    for (JobImage job : waiting) {
      TeamId team = new TeamId(job.getSubmitted().getTeam());
      if (tokens.free(team) == 0) {
        lacking.add(team);
      }
    }
    lacking.forEach(tokens::requestTokens);
  }
}
