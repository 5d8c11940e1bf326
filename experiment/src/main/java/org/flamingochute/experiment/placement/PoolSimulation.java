package org.flamingochute.experiment.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.decision.placement.PlacementDecision;
import org.flamingochute.decision.placement.PlacementInput;
import org.flamingochute.decision.placement.PlacementPolicy;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.decision.placement.TeamQuota;
import org.flamingochute.decision.placement.WorkerCapacity;
import org.flamingochute.experiment.model.Company;
import org.flamingochute.experiment.model.EventQueue;
import org.flamingochute.experiment.model.RandomSampler;

/**
 * Simulates a pool of workers that is offered more jobs than it can run.
 *
 * <p>On average, jobs use between 35 and 65 % of their declared resources, depending on the team; a
 * single job uses between 10 and 150 %. One job in twenty is urgent, one in thirty fails on every
 * worker, and one worker fails all jobs. A job also fails if, when it starts, it uses more memory
 * than the other jobs on its worker leave. Each failure takes 200 ms, and stopping a job 500 ms.
 */
final class PoolSimulation {

  private static final double DECISION_INTERVAL_MILLISECONDS = 200;
  private static final double URGENT_WAIT_TARGET_MILLISECONDS = 4_000;
  private static final double STOP_DELAY_MILLISECONDS = 500;
  private static final double FAILURE_DELAY_MILLISECONDS = 200;
  private static final double MEAN_RUN_MILLISECONDS = 20_000;
  private static final double RUN_LOG_SIGMA = 0.8;
  private static final double URGENT_RATIO = 0.05;
  private static final double ALWAYS_FAILING_RATIO = 1.0 / 30;

  /** Applies to the jobs of all teams, before every second team's interval is reduced to 70 %. */
  private static final double MEAN_ARRIVAL_INTERVAL_MILLISECONDS = 160;

  private static final int TEAM_CAP = 1_000;
  static final double DURATION_MILLISECONDS = 300_000;
  static final double WARM_UP_MILLISECONDS = 60_000;

  private final EventQueue events = new EventQueue();
  private final RandomSampler sampler;
  private final PlacementPolicy policy;
  private final Map<InstanceId, ResourceVector> workers = new LinkedHashMap<>();
  private final InstanceId failingWorker;
  private final List<Integer> teamShares;
  private final ResourceVector workerCapacity;
  private final Map<JobId, SimulatedJob> waitingJobs = new LinkedHashMap<>();
  private final Map<JobId, SimulatedJob> runningJobs = new LinkedHashMap<>();
  final Map<TeamId, Double> millicoreMillisecondsByTeam = new TreeMap<>();
  double usedMillicoreMilliseconds;
  double longestUrgentWaitMilliseconds;
  int urgentStarted;
  int urgentStartedInTime;
  int failedAttempts;
  int memoryFailures;
  int parkedJobs;
  int preemptedJobs;
  int succeededJobs;

  PoolSimulation(Company company, PlacementPolicy policy, long seed) {
    this.sampler = new RandomSampler(seed);
    this.policy = policy;
    this.teamShares = company.teamShares();
    this.workerCapacity = company.workerCapacity();
    for (int i = 0; i < company.workersPerPool().get(1); i++) {
      workers.put(new InstanceId("worker-" + i), company.workerCapacity());
    }
    failingWorker = new InstanceId("worker-0");
    events.schedulePeriodically(DECISION_INTERVAL_MILLISECONDS, this::applyDecisions);
    for (int i = 0; i < teamShares.size(); i++) {
      scheduleArrival(i, 0);
    }
  }

  private void scheduleArrival(int team, int number) {
    double meanIntervalMilliseconds =
        MEAN_ARRIVAL_INTERVAL_MILLISECONDS * teamShares.size() * (team % 2 == 0 ? 1 : 0.7);
    events.schedule(
        sampler.nextExponential(meanIntervalMilliseconds),
        () -> {
          submit(team, number);
          scheduleArrival(team, number + 1);
        });
  }

  private void submit(int team, int number) {
    long workerMillicores = workerCapacity.processorMillicores();
    long declaredMillicores =
        (long) Math.min(workerMillicores, sampler.nextLogNormal(workerMillicores / 8.0, 0.6));
    long declaredMebibytes =
        (long)
            Math.min(
                workerCapacity.memoryMebibytes() / 2.0,
                sampler.nextLogNormal(workerCapacity.memoryMebibytes() / 7.0, 0.6));
    double usedRatio = Math.clamp(sampler.nextLogNormal(0.35 + 0.1 * (team % 4), 0.25), 0.1, 1.5);
    ResourceVector declared = new ResourceVector(declaredMillicores, declaredMebibytes, 0);
    ResourceVector used =
        new ResourceVector(
            Math.max(1, (long) (declaredMillicores * usedRatio)),
            Math.max(1, (long) (declaredMebibytes * usedRatio)),
            0);
    JobId id = new JobId("job-" + team + "-" + number);
    SimulatedJob job =
        new SimulatedJob(
            id,
            new TeamId("team-" + team),
            declared,
            used,
            sampler.nextLogNormal(MEAN_RUN_MILLISECONDS, RUN_LOG_SIGMA),
            sampler.nextBoolean(URGENT_RATIO),
            sampler.nextBoolean(ALWAYS_FAILING_RATIO),
            events.nowWholeMilliseconds());
    waitingJobs.put(id, job);
  }

  private void applyDecisions() {
    recordUsage();
    PlacementInput.Builder input = PlacementInput.builder();
    workers.forEach((id, size) -> input.worker(new WorkerCapacity(id, size)));
    waitingJobs.values().forEach(job -> input.waiting(job.toWaitingJob()));
    runningJobs.values().forEach(job -> input.running(job.toRunningJob()));
    for (int i = 0; i < teamShares.size(); i++) {
      input.team(new TeamQuota(new TeamId("team-" + i), teamShares.get(i), TEAM_CAP));
    }
    for (PlacementDecision decision : policy.decide(input.build(), events.nowWholeMilliseconds())) {
      switch (decision) {
        case PlacementDecision.Start(JobId job, InstanceId worker) -> startJob(job, worker);
        case PlacementDecision.Preempt(JobId job, InstanceId worker, JobId urgent) ->
            preemptJob(job);
        case PlacementDecision.Park(JobId job, String reason) -> {
          parkedJobs++;
          waitingJobs.remove(job);
        }
      }
    }
  }

  private void startJob(JobId id, InstanceId worker) {
    SimulatedJob job = waitingJobs.remove(id);
    long usedMebibytes = job.used.memoryMebibytes();
    for (SimulatedJob other : runningJobs.values()) {
      usedMebibytes += other.worker.equals(worker) ? other.used.memoryMebibytes() : 0;
    }
    job.worker = worker;
    job.startedMilliseconds = events.nowWholeMilliseconds();
    runningJobs.put(id, job);
    if (job.urgent
        && events.nowMilliseconds() > WARM_UP_MILLISECONDS
        && job.failedWorkers.isEmpty()) {
      urgentStarted++;
      double waitMilliseconds = events.nowMilliseconds() - job.submittedMilliseconds;
      urgentStartedInTime += waitMilliseconds <= URGENT_WAIT_TARGET_MILLISECONDS ? 1 : 0;
      longestUrgentWaitMilliseconds = Math.max(longestUrgentWaitMilliseconds, waitMilliseconds);
    }
    boolean exceedsMemory = usedMebibytes > workers.get(worker).memoryMebibytes();
    boolean fails = exceedsMemory || job.alwaysFails || worker.equals(failingWorker);
    memoryFailures += exceedsMemory ? 1 : 0;
    int attempt = ++job.attempt;
    double durationMilliseconds = fails ? FAILURE_DELAY_MILLISECONDS : job.runMilliseconds;
    events.schedule(durationMilliseconds, () -> endAttempt(job, attempt, !fails));
  }

  private void endAttempt(SimulatedJob job, int attempt, boolean success) {
    if (job.attempt != attempt || !runningJobs.containsKey(job.id)) {
      return;
    }
    runningJobs.remove(job.id);
    policy.observeAttemptEnd(job.id, job.worker, success, events.nowWholeMilliseconds());
    if (success) {
      succeededJobs++;
      policy.observeUsage(job.team, job.declared, job.used);
      return;
    }
    failedAttempts++;
    job.failedWorkers.add(job.worker);
    waitingJobs.put(job.id, job);
  }

  private void preemptJob(JobId id) {
    SimulatedJob job = runningJobs.get(id);
    job.stopping = true;
    preemptedJobs++;
    int attempt = job.attempt;
    events.schedule(
        STOP_DELAY_MILLISECONDS,
        () -> {
          if (job.attempt == attempt && runningJobs.remove(id) != null) {
            job.attempt++;
            job.stopping = false;
            waitingJobs.put(id, job);
          }
        });
  }

  private void recordUsage() {
    if (events.nowMilliseconds() < WARM_UP_MILLISECONDS) {
      return;
    }
    for (SimulatedJob job : runningJobs.values()) {
      double millicoreMilliseconds =
          job.used.processorMillicores() * DECISION_INTERVAL_MILLISECONDS;
      usedMillicoreMilliseconds += millicoreMilliseconds;
      millicoreMillisecondsByTeam.merge(job.team, millicoreMilliseconds, Double::sum);
    }
  }

  PoolSimulation run() {
    events.runUntil(DURATION_MILLISECONDS);
    return this;
  }

  /**
   * Returns the ratio of the processor time that jobs used to that of all workers, after the
   * warm-up.
   */
  double utilisation() {
    double measuredMilliseconds = DURATION_MILLISECONDS - WARM_UP_MILLISECONDS;
    return usedMillicoreMilliseconds
        / (workers.size() * workerCapacity.processorMillicores() * measuredMilliseconds);
  }

  /**
   * Returns the lowest ratio of a team's used processor time to its weighted share of all use,
   * among the teams with more than two waiting jobs at the end; 1 if there is none.
   */
  double lowestRatioToShare() {
    double totalShares = teamShares.stream().mapToInt(Integer::intValue).sum();
    double lowestRatio = Double.POSITIVE_INFINITY;
    for (int i = 0; i < teamShares.size(); i++) {
      boolean hasDemand = countWaitingJobs(new TeamId("team-" + i)) > 2;
      double teamUsage = millicoreMillisecondsByTeam.getOrDefault(new TeamId("team-" + i), 0.0);
      double ratio = teamUsage / (usedMillicoreMilliseconds * teamShares.get(i) / totalShares);
      lowestRatio = hasDemand ? Math.min(lowestRatio, ratio) : lowestRatio;
    }
    return Double.isInfinite(lowestRatio) ? 1 : lowestRatio;
  }

  private long countWaitingJobs(TeamId team) {
    return waitingJobs.values().stream().filter(job -> job.team.equals(team)).count();
  }

  /**
   * Returns the numbers of waiting, running, parked and succeeded jobs, which add up to the number
   * of submitted jobs.
   */
  List<Integer> jobCounts() {
    return new ArrayList<>(
        List.of(waitingJobs.size(), runningJobs.size(), parkedJobs, succeededJobs));
  }
}
