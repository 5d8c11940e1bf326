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
 * <p>A team's part is the largest fraction of any resource of the pool that its running jobs take,
 * divided by its weight. The next job is always taken from the team with the smallest part that may
 * start one; within the team urgent jobs come first, then earlier deadlines, then earlier
 * submissions. The job goes to the worker on which least room is left over, so that large jobs find
 * room later. Sizes are the declared ones corrected by observed usage.
 *
 * <p>Example: a pool of 9 cores and 18 GiB; jobs of team A need 1 core and 4 GiB, those of team B 3
 * cores and 1 GiB. A runs 3 jobs (12 of 18 GiB) and B 2 (6 of 9 cores): both have two thirds.
 *
 * <p>An urgent job that finds no room makes room: idempotent jobs that are not urgent are stopped,
 * the youngest ones of the team with the largest part first, which must be the same team or have a
 * part that is not below the part that urgent jobs alone give to the urgent job's team. The room is
 * kept for the urgent job from then on. So urgent work within its team's part never waits for other
 * work, and a team that calls all its work urgent gets no more than its part. When nothing can be
 * stopped, an urgent job may overcommit the processors of a worker by a bounded part, which slows
 * its neighbours down for a while; memory and accelerators are never overcommitted.
 *
 * <p>A job that has found no room for long gets a worker kept free for it, so that a stream of
 * small jobs does not pass it by for ever.
 *
 * <p>A job larger than every worker, or failed on several trusted workers, is parked.
 */
public final class FairPlacement implements PlacementPolicy {

  private static final int PERCENT = 100;

  private final FairPlacementSettings settings;
  private final UsageEstimator estimator = new UsageEstimator();
  private final WorkerHealth health = new WorkerHealth();
  private final Map<JobId, InstanceId> claims = new HashMap<>();

  /** Creates a policy that has observed nothing yet. */
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
  public void observeEnd(JobId job, InstanceId worker, boolean succeeded, long nowMilliseconds) {
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
      String hopeless = reasonToPark(job, input.workers());
      if (hopeless != null) {
        decisions.add(new PlacementDecision.Park(job.job(), hopeless));
        continue;
      }
      queues.computeIfAbsent(job.team(), key -> new PriorityQueue<>(WITHIN_TEAM)).add(job);
    }
    honourClaims(input.waiting(), queues, ledger, nowMilliseconds, decisions);
    while (true) {
      TeamId team = nextTeam(queues, ledger);
      if (team == null) {
        return decisions;
      }
      WaitingJob job = queues.get(team).poll();
      place(job, ledger, nowMilliseconds, decisions);
    }
  }

  private static final Comparator<WaitingJob> WITHIN_TEAM =
      Comparator.comparing((WaitingJob job) -> !job.urgent())
          .thenComparingLong(WaitingJob::orderingDeadline)
          .thenComparingLong(WaitingJob::submittedMilliseconds)
          .thenComparing(WaitingJob::job);

  private TeamId nextTeam(Map<TeamId, PriorityQueue<WaitingJob>> queues, PoolLedger ledger) {
    TeamId best = null;
    double bestPart = Double.POSITIVE_INFINITY;
    for (Map.Entry<TeamId, PriorityQueue<WaitingJob>> entry : queues.entrySet()) {
      TeamId team = entry.getKey();
      if (entry.getValue().isEmpty() || !ledger.mayStart(team)) {
        continue;
      }
      double part = ledger.weightedPart(team, ResourceVector.ZERO);
      if (part < bestPart || (part == bestPart && team.compareTo(best) < 0)) {
        best = team;
        bestPart = part;
      }
    }
    return best;
  }

  /** Starts urgent jobs in the room that was made for them, or keeps it while it is coming. */
  private void honourClaims(
      List<WaitingJob> waiting,
      Map<TeamId, PriorityQueue<WaitingJob>> queues,
      PoolLedger ledger,
      long nowMilliseconds,
      List<PlacementDecision> decisions) {
    Map<JobId, InstanceId> open = Map.copyOf(claims);
    claims.clear();
    for (WaitingJob job : waiting) {
      InstanceId worker = open.get(job.job());
      PriorityQueue<WaitingJob> queue = queues.get(job.team());
      boolean usable =
          worker != null
              && queue != null
              && queue.contains(job)
              && ledger.capacity(worker) != null
              && ledger.mayStart(job.team())
              && isUsable(worker, ledger, nowMilliseconds);
      if (!usable) {
        continue;
      }
      ResourceVector size = ledger.size(job.team(), job.declared());
      ResourceVector needed = ledger.sizeOn(worker, size, job.declared());
      ResourceVector room = ledger.free().get(worker);
      if (needed.fitsIn(room)) {
        ledger.start(job.team(), worker, needed);
        decisions.add(new PlacementDecision.Start(job.job(), worker));
        queue.remove(job);
      } else if (needed.fitsIn(room.plus(ledger.coming(worker)))) {
        ledger.reserve(worker, needed);
        claims.put(job.job(), worker);
        queue.remove(job);
      }
    }
  }

  private void place(
      WaitingJob job, PoolLedger ledger, long nowMilliseconds, List<PlacementDecision> decisions) {
    ResourceVector size = ledger.size(job.team(), job.declared());
    InstanceId worker = tightestWorker(job, size, ledger, 0, nowMilliseconds);
    if (worker == null && job.urgent()) {
      if (settings.preemptForUrgent() && preempt(job, size, ledger, nowMilliseconds, decisions)) {
        return;
      }
      int overcommit = settings.processorOvercommitPercent();
      worker = tightestWorker(job, size, ledger, overcommit, nowMilliseconds);
    }
    if (worker == null) {
      reserveAfterLongWait(job, size, ledger, nowMilliseconds);
      return;
    }
    ledger.start(job.team(), worker, ledger.sizeOn(worker, size, job.declared()));
    decisions.add(new PlacementDecision.Start(job.job(), worker));
  }

  private InstanceId tightestWorker(
      WaitingJob job,
      ResourceVector size,
      PoolLedger ledger,
      int overcommitPercent,
      long nowMilliseconds) {
    InstanceId best = null;
    double leastLeft = Double.POSITIVE_INFINITY;
    for (Map.Entry<InstanceId, ResourceVector> entry : ledger.free().entrySet()) {
      InstanceId worker = entry.getKey();
      if (job.failedWorkers().contains(worker) || !isUsable(worker, ledger, nowMilliseconds)) {
        continue;
      }
      ResourceVector capacity = ledger.capacity(worker);
      ResourceVector room = withOvercommit(entry.getValue(), capacity, overcommitPercent);
      ResourceVector needed = ledger.sizeOn(worker, size, job.declared());
      if (!needed.fitsIn(room)) {
        continue;
      }
      double left = room.minus(needed).dominantPart(capacity);
      if (left < leastLeft) {
        best = worker;
        leastLeft = left;
      }
    }
    return best;
  }

  private boolean isUsable(InstanceId worker, PoolLedger ledger, long nowMilliseconds) {
    return ledger.jobCount(worker) < health.jobLimit(worker, nowMilliseconds);
  }

  private static ResourceVector withOvercommit(
      ResourceVector room, ResourceVector capacity, int percent) {
    long more = capacity.processorMillicores() * percent / PERCENT;
    return room.plus(new ResourceVector(more, 0, 0));
  }

  /** Stops jobs on the one worker where that makes room with the fewest stops. */
  private boolean preempt(
      WaitingJob job,
      ResourceVector size,
      PoolLedger ledger,
      long nowMilliseconds,
      List<PlacementDecision> decisions) {
    List<RunningJob> best = null;
    for (Map.Entry<InstanceId, ResourceVector> entry : ledger.free().entrySet()) {
      InstanceId worker = entry.getKey();
      if (job.failedWorkers().contains(worker) || !isUsable(worker, ledger, nowMilliseconds)) {
        continue;
      }
      ResourceVector needed = ledger.sizeOn(worker, size, job.declared());
      ResourceVector room = entry.getValue().plus(ledger.coming(worker));
      if (needed.fitsIn(room)) {
        ledger.reserve(worker, needed);
        claims.put(job.job(), worker);
        return true;
      }
      List<RunningJob> stops = stopsFor(job, needed, worker, room, ledger);
      if (!stops.isEmpty() && (best == null || stops.size() < best.size())) {
        best = stops;
      }
    }
    if (best == null) {
      return false;
    }
    InstanceId chosen = best.getFirst().worker();
    claims.put(job.job(), chosen);
    ledger.reserve(chosen, ledger.sizeOn(chosen, size, job.declared()));
    for (RunningJob stop : best) {
      ledger.markStopping(stop);
      decisions.add(new PlacementDecision.Preempt(stop.job(), stop.worker(), job.job()));
    }
    return true;
  }

  /** Keeps the worker with most room for a job that has waited long. */
  private void reserveAfterLongWait(
      WaitingJob job, ResourceVector size, PoolLedger ledger, long nowMilliseconds) {
    long waited = nowMilliseconds - job.submittedMilliseconds();
    if (ledger.hasReservation() || waited < settings.reserveAfterMilliseconds()) {
      return;
    }
    InstanceId best = null;
    double mostRoom = Double.NEGATIVE_INFINITY;
    for (Map.Entry<InstanceId, ResourceVector> entry : ledger.free().entrySet()) {
      InstanceId worker = entry.getKey();
      ResourceVector needed = ledger.sizeOn(worker, size, job.declared());
      boolean excluded =
          job.failedWorkers().contains(worker)
              || !isUsable(worker, ledger, nowMilliseconds)
              || !needed.fitsIn(ledger.capacity(worker));
      double room = smallestPart(entry.getValue(), ledger.capacity(worker));
      if (!excluded && room > mostRoom) {
        best = worker;
        mostRoom = room;
      }
    }
    if (best != null) {
      ledger.reserveForLongWait(best, ledger.sizeOn(best, size, job.declared()));
    }
  }

  private static double smallestPart(ResourceVector room, ResourceVector capacity) {
    double processors = (double) room.processorMillicores() / capacity.processorMillicores();
    double memory = (double) room.memoryMebibytes() / capacity.memoryMebibytes();
    return Math.min(processors, memory);
  }

  /** Returns the stops that make room on a worker, or an empty list when none do. */
  private static List<RunningJob> stopsFor(
      WaitingJob job,
      ResourceVector needed,
      InstanceId worker,
      ResourceVector free,
      PoolLedger ledger) {
    double urgentPart = ledger.weightedUrgentPart(job.team());
    List<RunningJob> candidates = new ArrayList<>();
    for (RunningJob running : ledger.stoppable()) {
      boolean sameTeam = running.team().equals(job.team());
      if (running.worker().equals(worker)
          && (sameTeam || ledger.weightedPart(running.team(), ResourceVector.ZERO) >= urgentPart)) {
        candidates.add(running);
      }
    }
    candidates.sort(
        Comparator.comparingDouble(
                (RunningJob running) -> -ledger.weightedPart(running.team(), ResourceVector.ZERO))
            .thenComparingLong(running -> -running.startedMilliseconds())
            .thenComparing(RunningJob::job));
    List<RunningJob> stops = new ArrayList<>();
    ResourceVector room = free;
    for (RunningJob candidate : candidates) {
      stops.add(candidate);
      room = room.plus(ledger.size(candidate.team(), candidate.declared()));
      if (needed.fitsIn(room)) {
        return stops;
      }
    }
    return List.of();
  }

  private String reasonToPark(WaitingJob job, List<WorkerCondition> workers) {
    long trustedFailures = job.failedWorkers().stream().filter(health::isTrusted).count();
    if (trustedFailures >= settings.failedWorkersForParking()) {
      return "failed on " + trustedFailures + " workers that run other jobs";
    }
    if (workers.isEmpty()) {
      return null;
    }
    for (WorkerCondition worker : workers) {
      if (job.declared().fitsIn(worker.capacity())) {
        return null;
      }
    }
    return "declared size exceeds every worker of the pool";
  }
}
