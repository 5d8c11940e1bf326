package org.flamingochute.decision.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.TeamId;

/**
 * Weighted dominant resource fairness with caps.
 *
 * <p>A team's weighted dominant share is the largest fraction of any resource of the pool that its
 * running jobs use, divided by the team's weight. The next job always comes from the team with the
 * smallest weighted dominant share among those that may start a job. Within the team, urgent jobs
 * come first, then earlier deadlines, then earlier submissions. The job is placed on the worker
 * with the least remaining capacity (best fit), so that large jobs still fit elsewhere. Sizes are
 * the declared sizes corrected by observed usage.
 *
 * <p>Example: a pool of 9 cores and 18 GiB; jobs of team A need 1 core and 4 GiB, those of team B 3
 * cores and 1 GiB. A runs 3 jobs (12 of 18 GiB) and B 2 (6 of 9 cores): both have a share of two
 * thirds.
 *
 * <p>An urgent job that fits on no worker preempts jobs that are idempotent and not urgent. Jobs of
 * the team with the largest share are stopped first, and of these the most recently started. That
 * team must be the team of the urgent job, or its share must not be below the share that the urgent
 * job's team has by its running urgent jobs alone. The capacity is then reserved for the urgent
 * job. So urgent work within its team's share need not wait until idempotent jobs of other teams
 * are done, and a team that marks all its work as urgent gets no more than its share. When stopping
 * jobs does not free enough capacity on any worker, an urgent job may overcommit the processors of
 * a worker by a bounded fraction, which slows the other jobs on that worker down for a while;
 * memory and accelerators are never overcommitted.
 *
 * <p>If a job fits on no worker and was submitted a long time ago, capacity of one worker is
 * reserved for it, so that a stream of small jobs does not starve it. Only one job at a time has
 * such a reservation.
 *
 * <p>A job whose declared size exceeds every worker, or that failed on several trusted workers, is
 * parked.
 */
public final class FairPlacement implements PlacementPolicy {

  private static final int PERCENT = 100;

  private final FairPlacementSettings settings;
  private final UsageEstimator estimator = new UsageEstimator();
  private final WorkerHealth health = new WorkerHealth();
  private final Map<JobId, InstanceId> reservedWorkers = new HashMap<>();

  /** Creates a policy without observations. */
  public FairPlacement(FairPlacementSettings settings) {
    this.settings = settings;
  }

  @Override
  public void observeUsage(TeamId team, ResourceVector declared, ResourceVector peak) {
    if (settings.correctUsage()) {
      estimator.observe(team, declared, peak);
    }
  }

  @Override
  public void observeAttemptEnd(
      JobId job, InstanceId worker, boolean succeeded, long nowMilliseconds) {
    if (settings.avoidFailingWorkers()) {
      health.observe(job, worker, succeeded, nowMilliseconds);
    }
  }

  @Override
  public List<PlacementDecision> decide(PlacementInput input, long nowMilliseconds) {
    List<PlacementDecision> decisions = new ArrayList<>();
    PoolLedger ledger = new PoolLedger(input, estimator);
    Map<TeamId, PriorityQueue<WaitingJob>> queues = new HashMap<>();
    for (WaitingJob job : input.waiting()) {
      String parkReason = parkReason(job, input.workers());
      if (parkReason != null) {
        decisions.add(new PlacementDecision.Park(job.job(), parkReason));
        continue;
      }
      queues.computeIfAbsent(job.team(), key -> new PriorityQueue<>(ORDER_WITHIN_TEAM)).add(job);
    }
    placeReservedJobs(input.waiting(), queues, ledger, nowMilliseconds, decisions);
    while (true) {
      TeamId team = nextTeam(queues, ledger);
      if (team == null) {
        return decisions;
      }
      WaitingJob job = queues.get(team).poll();
      place(job, ledger, nowMilliseconds, decisions);
    }
  }

  private static final Comparator<WaitingJob> ORDER_WITHIN_TEAM =
      Comparator.comparing((WaitingJob job) -> !job.urgent())
          .thenComparingLong(WaitingJob::orderingDeadline)
          .thenComparingLong(WaitingJob::submittedMilliseconds)
          .thenComparing(WaitingJob::job);

  private TeamId nextTeam(Map<TeamId, PriorityQueue<WaitingJob>> queues, PoolLedger ledger) {
    TeamId best = null;
    double smallestShare = Double.POSITIVE_INFINITY;
    for (Map.Entry<TeamId, PriorityQueue<WaitingJob>> entry : queues.entrySet()) {
      TeamId team = entry.getKey();
      if (entry.getValue().isEmpty() || !ledger.mayStart(team)) {
        continue;
      }
      double share = ledger.weightedDominantShare(team, ResourceVector.ZERO);
      if (share < smallestShare || (share == smallestShare && team.compareTo(best) < 0)) {
        best = team;
        smallestShare = share;
      }
    }
    return best;
  }

  /**
   * Starts urgent jobs on the capacity that was freed for them, or keeps it reserved while the
   * preempted jobs are still stopping.
   */
  private void placeReservedJobs(
      List<WaitingJob> waiting,
      Map<TeamId, PriorityQueue<WaitingJob>> queues,
      PoolLedger ledger,
      long nowMilliseconds,
      List<PlacementDecision> decisions) {
    Map<JobId, InstanceId> previouslyReserved = Map.copyOf(reservedWorkers);
    reservedWorkers.clear();
    for (WaitingJob job : waiting) {
      InstanceId worker = previouslyReserved.get(job.job());
      PriorityQueue<WaitingJob> queue = queues.get(job.team());
      boolean canStillUse =
          worker != null
              && queue != null
              && queue.contains(job)
              && ledger.capacity(worker) != null
              && ledger.mayStart(job.team())
              && isUsable(worker, ledger, nowMilliseconds);
      if (!canStillUse) {
        continue;
      }
      ResourceVector size = ledger.size(job.team(), job.declared());
      ResourceVector needed = ledger.sizeOnWorker(worker, size, job.declared());
      ResourceVector freeCapacity = ledger.freeCapacity().get(worker);
      if (needed.fitsIn(freeCapacity)) {
        ledger.start(job.team(), worker, needed);
        decisions.add(new PlacementDecision.Start(job.job(), worker));
        queue.remove(job);
      } else if (needed.fitsIn(freeCapacity.plus(ledger.releasing(worker)))) {
        ledger.reserve(worker, needed);
        reservedWorkers.put(job.job(), worker);
        queue.remove(job);
      }
    }
  }

  private void place(
      WaitingJob job, PoolLedger ledger, long nowMilliseconds, List<PlacementDecision> decisions) {
    ResourceVector size = ledger.size(job.team(), job.declared());
    InstanceId worker = bestFitWorker(job, size, ledger, 0, nowMilliseconds);
    if (worker == null && job.urgent()) {
      if (settings.preemptForUrgent() && preempt(job, size, ledger, nowMilliseconds, decisions)) {
        return;
      }
      int overcommit = settings.processorOvercommitPercent();
      worker = bestFitWorker(job, size, ledger, overcommit, nowMilliseconds);
    }
    if (worker == null) {
      reserveAfterLongWait(job, size, ledger, nowMilliseconds);
      return;
    }
    ledger.start(job.team(), worker, ledger.sizeOnWorker(worker, size, job.declared()));
    decisions.add(new PlacementDecision.Start(job.job(), worker));
  }

  private InstanceId bestFitWorker(
      WaitingJob job,
      ResourceVector size,
      PoolLedger ledger,
      int overcommitPercent,
      long nowMilliseconds) {
    InstanceId best = null;
    double leastRemaining = Double.POSITIVE_INFINITY;
    for (Map.Entry<InstanceId, ResourceVector> entry : ledger.freeCapacity().entrySet()) {
      InstanceId worker = entry.getKey();
      if (job.failedWorkers().contains(worker) || !isUsable(worker, ledger, nowMilliseconds)) {
        continue;
      }
      ResourceVector capacity = ledger.capacity(worker);
      ResourceVector freeCapacity = withOvercommit(entry.getValue(), capacity, overcommitPercent);
      ResourceVector needed = ledger.sizeOnWorker(worker, size, job.declared());
      if (!needed.fitsIn(freeCapacity)) {
        continue;
      }
      double remaining = freeCapacity.minus(needed).dominantShare(capacity);
      if (remaining < leastRemaining) {
        best = worker;
        leastRemaining = remaining;
      }
    }
    return best;
  }

  private boolean isUsable(InstanceId worker, PoolLedger ledger, long nowMilliseconds) {
    return ledger.jobCount(worker) < health.jobLimit(worker, nowMilliseconds);
  }

  private static ResourceVector withOvercommit(
      ResourceVector freeCapacity, ResourceVector capacity, int percent) {
    long extraMillicores = capacity.processorMillicores() * percent / PERCENT;
    return freeCapacity.plus(new ResourceVector(extraMillicores, 0, 0));
  }

  /**
   * Reserves capacity that jobs being stopped will release, or else preempts jobs on the worker
   * where the fewest stops free enough capacity. Returns false if neither is possible.
   */
  private boolean preempt(
      WaitingJob job,
      ResourceVector size,
      PoolLedger ledger,
      long nowMilliseconds,
      List<PlacementDecision> decisions) {
    List<RunningJob> fewestStops = null;
    for (Map.Entry<InstanceId, ResourceVector> entry : ledger.freeCapacity().entrySet()) {
      InstanceId worker = entry.getKey();
      if (job.failedWorkers().contains(worker) || !isUsable(worker, ledger, nowMilliseconds)) {
        continue;
      }
      ResourceVector needed = ledger.sizeOnWorker(worker, size, job.declared());
      ResourceVector freeCapacity = entry.getValue().plus(ledger.releasing(worker));
      if (needed.fitsIn(freeCapacity)) {
        ledger.reserve(worker, needed);
        reservedWorkers.put(job.job(), worker);
        return true;
      }
      List<RunningJob> stops = jobsToStop(job, needed, worker, freeCapacity, ledger);
      if (!stops.isEmpty() && (fewestStops == null || stops.size() < fewestStops.size())) {
        fewestStops = stops;
      }
    }
    if (fewestStops == null) {
      return false;
    }
    InstanceId chosen = fewestStops.getFirst().worker();
    reservedWorkers.put(job.job(), chosen);
    ledger.reserve(chosen, ledger.sizeOnWorker(chosen, size, job.declared()));
    for (RunningJob stop : fewestStops) {
      ledger.markStopping(stop);
      decisions.add(new PlacementDecision.Preempt(stop.job(), stop.worker(), job.job()));
    }
    return true;
  }

  /** Reserves capacity of the worker with the most free capacity for a job that has waited long. */
  private void reserveAfterLongWait(
      WaitingJob job, ResourceVector size, PoolLedger ledger, long nowMilliseconds) {
    long waitedMilliseconds = nowMilliseconds - job.submittedMilliseconds();
    if (ledger.hasReservation() || waitedMilliseconds < settings.reserveAfterMilliseconds()) {
      return;
    }
    InstanceId best = null;
    double mostFree = Double.NEGATIVE_INFINITY;
    for (Map.Entry<InstanceId, ResourceVector> entry : ledger.freeCapacity().entrySet()) {
      InstanceId worker = entry.getKey();
      ResourceVector needed = ledger.sizeOnWorker(worker, size, job.declared());
      boolean isExcluded =
          job.failedWorkers().contains(worker)
              || !isUsable(worker, ledger, nowMilliseconds)
              || !needed.fitsIn(ledger.capacity(worker));
      double freeFraction = smallestFraction(entry.getValue(), ledger.capacity(worker));
      if (!isExcluded && freeFraction > mostFree) {
        best = worker;
        mostFree = freeFraction;
      }
    }
    if (best != null) {
      ledger.reserveForLongWait(best, ledger.sizeOnWorker(best, size, job.declared()));
    }
  }

  private static double smallestFraction(ResourceVector freeCapacity, ResourceVector capacity) {
    double processors =
        (double) freeCapacity.processorMillicores() / capacity.processorMillicores();
    double memory = (double) freeCapacity.memoryMebibytes() / capacity.memoryMebibytes();
    return Math.min(processors, memory);
  }

  /** Returns the jobs to stop to free enough capacity on a worker, or an empty list if none do. */
  private static List<RunningJob> jobsToStop(
      WaitingJob job,
      ResourceVector needed,
      InstanceId worker,
      ResourceVector free,
      PoolLedger ledger) {
    double urgentShare = ledger.weightedUrgentShare(job.team());
    List<RunningJob> candidates = new ArrayList<>();
    for (RunningJob running : ledger.preemptible()) {
      boolean isSameTeam = running.team().equals(job.team());
      if (running.worker().equals(worker)
          && (isSameTeam
              || ledger.weightedDominantShare(running.team(), ResourceVector.ZERO)
                  >= urgentShare)) {
        candidates.add(running);
      }
    }
    candidates.sort(
        Comparator.comparingDouble(
                (RunningJob running) ->
                    -ledger.weightedDominantShare(running.team(), ResourceVector.ZERO))
            .thenComparingLong(running -> -running.startedMilliseconds())
            .thenComparing(RunningJob::job));
    List<RunningJob> stops = new ArrayList<>();
    ResourceVector freeCapacity = free;
    for (RunningJob candidate : candidates) {
      stops.add(candidate);
      freeCapacity = freeCapacity.plus(ledger.size(candidate.team(), candidate.declared()));
      if (needed.fitsIn(freeCapacity)) {
        return stops;
      }
    }
    return List.of();
  }

  private String parkReason(WaitingJob job, List<WorkerCapacity> workers) {
    long trustedFailures = job.failedWorkers().stream().filter(health::isTrusted).count();
    if (trustedFailures >= settings.failedWorkersForParking()) {
      return "failed on " + trustedFailures + " workers that run other jobs";
    }
    if (workers.isEmpty()) {
      return null;
    }
    for (WorkerCapacity worker : workers) {
      if (job.declared().fitsIn(worker.capacity())) {
        return null;
      }
    }
    return "declared size exceeds every worker of the pool";
  }
}
