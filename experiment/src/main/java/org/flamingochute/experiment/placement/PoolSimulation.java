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
import org.flamingochute.decision.placement.TeamPart;
import org.flamingochute.decision.placement.WorkerCondition;
import org.flamingochute.experiment.model.Company;
import org.flamingochute.experiment.model.Draws;
import org.flamingochute.experiment.model.EventQueue;

/**
 * One pool of workers under more jobs than it can run.
 *
 * <p>Jobs use a third to all of what they declare, by team; one job in twenty is urgent, one in
 * thirty fails everywhere, and one worker fails all jobs after 200 ms. A job whose memory exceeds
 * what its worker has left fails. Stopping a job takes half a second.
 */
final class PoolSimulation {

  private static final double DECIDE_MILLISECONDS = 200;
  private static final double URGENT_TARGET_MILLISECONDS = 4_000;
  private static final double STOP_MILLISECONDS = 500;
  private static final double FAIL_MILLISECONDS = 200;
  private static final double RUN_MILLISECONDS = 20_000;
  private static final double RUN_SIGMA = 0.8;
  private static final double URGENT_PART = 0.05;
  private static final double HOPELESS_PART = 1.0 / 30;
  private static final double ARRIVAL_MILLISECONDS = 160;
  private static final int CAP = 1_000;
  static final double DURATION_MILLISECONDS = 300_000;
  static final double WARM_UP_MILLISECONDS = 60_000;

  private final EventQueue events = new EventQueue();
  private final Draws draws;
  private final PlacementPolicy policy;
  private final Map<InstanceId, ResourceVector> workers = new LinkedHashMap<>();
  private final InstanceId failingWorker;
  private final List<Integer> shares;
  private final ResourceVector workerSize;
  private final Map<JobId, SimulatedJob> waiting = new LinkedHashMap<>();
  private final Map<JobId, SimulatedJob> running = new LinkedHashMap<>();
  final Map<TeamId, Double> usedByTeam = new TreeMap<>();
  double usedProcessors;
  double longestUrgentWait;
  int urgentStarted;
  int urgentStartedInTime;
  int failedAttempts;
  int memoryFailures;
  int parked;
  int stopped;
  int succeeded;

  PoolSimulation(Company company, PlacementPolicy policy, long seed) {
    this.draws = new Draws(seed);
    this.policy = policy;
    this.shares = company.shares();
    this.workerSize = company.worker();
    for (int i = 0; i < company.workersPerPool().get(1); i++) {
      workers.put(new InstanceId("worker-" + i), company.worker());
    }
    failingWorker = new InstanceId("worker-0");
    events.every(DECIDE_MILLISECONDS, this::decide);
    for (int i = 0; i < shares.size(); i++) {
      scheduleArrival(i, 0);
    }
  }

  private void scheduleArrival(int team, int number) {
    double interval = ARRIVAL_MILLISECONDS * shares.size() * (team % 2 == 0 ? 1 : 0.7);
    events.after(
        draws.exponential(interval),
        () -> {
          submit(team, number);
          scheduleArrival(team, number + 1);
        });
  }

  private void submit(int team, int number) {
    long cores = workerSize.processorMillicores();
    long processors = (long) Math.min(cores, draws.logNormal(cores / 8.0, 0.6));
    long memory =
        (long)
            Math.min(
                workerSize.memoryMebibytes() / 2.0,
                draws.logNormal(workerSize.memoryMebibytes() / 7.0, 0.6));
    double ratio = Math.clamp(draws.logNormal(0.35 + 0.1 * (team % 4), 0.25), 0.1, 1.5);
    ResourceVector declared = new ResourceVector(processors, memory, 0);
    ResourceVector used =
        new ResourceVector(
            Math.max(1, (long) (processors * ratio)), Math.max(1, (long) (memory * ratio)), 0);
    JobId id = new JobId("job-" + team + "-" + number);
    SimulatedJob job =
        new SimulatedJob(
            id,
            new TeamId("team-" + team),
            declared,
            used,
            draws.logNormal(RUN_MILLISECONDS, RUN_SIGMA),
            draws.happens(URGENT_PART),
            draws.happens(HOPELESS_PART),
            events.wholeNow());
    waiting.put(id, job);
  }

  private void decide() {
    account();
    PlacementInput.Builder input = PlacementInput.builder();
    workers.forEach((id, size) -> input.worker(new WorkerCondition(id, size)));
    waiting.values().forEach(job -> input.waiting(job.toWaiting()));
    running.values().forEach(job -> input.running(job.toRunning()));
    for (int i = 0; i < shares.size(); i++) {
      input.team(new TeamPart(new TeamId("team-" + i), shares.get(i), CAP));
    }
    for (PlacementDecision decision : policy.decide(input.build(), events.wholeNow())) {
      switch (decision) {
        case PlacementDecision.Start(JobId job, InstanceId worker) -> start(job, worker);
        case PlacementDecision.Preempt(JobId job, InstanceId worker, JobId urgent) -> stop(job);
        case PlacementDecision.Park(JobId job, String reason) -> {
          parked++;
          waiting.remove(job);
        }
      }
    }
  }

  private void start(JobId id, InstanceId worker) {
    SimulatedJob job = waiting.remove(id);
    long memory = job.used.memoryMebibytes();
    for (SimulatedJob other : running.values()) {
      memory += other.worker.equals(worker) ? other.used.memoryMebibytes() : 0;
    }
    job.worker = worker;
    job.startedMilliseconds = events.wholeNow();
    running.put(id, job);
    if (job.urgent && events.now() > WARM_UP_MILLISECONDS && job.failedWorkers.isEmpty()) {
      urgentStarted++;
      double wait = events.now() - job.submittedMilliseconds;
      urgentStartedInTime += wait <= URGENT_TARGET_MILLISECONDS ? 1 : 0;
      longestUrgentWait = Math.max(longestUrgentWait, wait);
    }
    boolean tooLarge = memory > workers.get(worker).memoryMebibytes();
    boolean fails = tooLarge || job.hopeless || worker.equals(failingWorker);
    memoryFailures += tooLarge ? 1 : 0;
    int attempt = ++job.attempt;
    double time = fails ? FAIL_MILLISECONDS : job.runMilliseconds;
    events.after(time, () -> end(job, attempt, !fails));
  }

  private void end(SimulatedJob job, int attempt, boolean success) {
    if (job.attempt != attempt || !running.containsKey(job.id)) {
      return;
    }
    running.remove(job.id);
    policy.observeEnd(job.id, job.worker, success, events.wholeNow());
    if (success) {
      succeeded++;
      policy.observeUsage(job.team, job.declared, job.used);
      return;
    }
    failedAttempts++;
    job.failedWorkers.add(job.worker);
    waiting.put(job.id, job);
  }

  private void stop(JobId id) {
    SimulatedJob job = running.get(id);
    job.stopping = true;
    stopped++;
    int attempt = job.attempt;
    events.after(
        STOP_MILLISECONDS,
        () -> {
          if (job.attempt == attempt && running.remove(id) != null) {
            job.attempt++;
            job.stopping = false;
            waiting.put(id, job);
          }
        });
  }

  private void account() {
    if (events.now() < WARM_UP_MILLISECONDS) {
      return;
    }
    for (SimulatedJob job : running.values()) {
      double cores = job.used.processorMillicores() * DECIDE_MILLISECONDS;
      usedProcessors += cores;
      usedByTeam.merge(job.team, cores, Double::sum);
    }
  }

  PoolSimulation run() {
    events.runUntil(DURATION_MILLISECONDS);
    return this;
  }

  /** Returns the part of the workers' processors that jobs really used. */
  double utilisation() {
    double time = DURATION_MILLISECONDS - WARM_UP_MILLISECONDS;
    return usedProcessors / (workers.size() * workerSize.processorMillicores() * time);
  }

  /** Returns the least part of its weighted share of the used processors that a team got. */
  double leastPartOfShare() {
    double weight = shares.stream().mapToInt(Integer::intValue).sum();
    double least = Double.POSITIVE_INFINITY;
    for (int i = 0; i < shares.size(); i++) {
      boolean hasDemand = waitingOf(new TeamId("team-" + i)) > 2;
      double used = usedByTeam.getOrDefault(new TeamId("team-" + i), 0.0);
      double part = used / (usedProcessors * shares.get(i) / weight);
      least = hasDemand ? Math.min(least, part) : least;
    }
    return Double.isInfinite(least) ? 1 : least;
  }

  private long waitingOf(TeamId team) {
    return waiting.values().stream().filter(job -> job.team.equals(team)).count();
  }

  /** Returns jobs that wait, run, were parked or succeeded: what was submitted, with none lost. */
  List<Integer> counts() {
    return new ArrayList<>(List.of(waiting.size(), running.size(), parked, succeeded));
  }
}
