package org.flamingochute.decision.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.TeamId;

/** Free capacity of the workers and usage of the teams during one placement decision. */
final class PoolLedger {

  private final UsageEstimator estimator;
  private final Map<InstanceId, ResourceVector> freeCapacity = new LinkedHashMap<>();
  private final Map<InstanceId, ResourceVector> capacity = new HashMap<>();
  private final Map<InstanceId, Integer> jobCounts = new HashMap<>();
  private final Map<TeamId, ResourceVector> teamUsage = new HashMap<>();
  private final Map<TeamId, ResourceVector> urgentUsage = new HashMap<>();
  private final Map<TeamId, Integer> startable = new HashMap<>();
  private final Map<TeamId, Integer> weights = new HashMap<>();
  private final Map<InstanceId, ResourceVector> releasing = new HashMap<>();
  private final List<RunningJob> preemptible = new ArrayList<>();
  private boolean hasReservation;
  private ResourceVector total = ResourceVector.ZERO;

  PoolLedger(PlacementInput input, UsageEstimator estimator) {
    this.estimator = estimator;
    for (WorkerCapacity worker : input.workers()) {
      freeCapacity.put(worker.worker(), worker.capacity());
      capacity.put(worker.worker(), worker.capacity());
      total = total.plus(worker.capacity());
    }
    for (TeamQuota team : input.teams()) {
      startable.put(team.team(), team.startable());
      weights.put(team.team(), Math.max(1, team.share()));
    }
    input.running().forEach(this::addRunning);
  }

  private void addRunning(RunningJob job) {
    allocate(job.team(), job.worker(), size(job.team(), job.declared()));
    if (job.urgent()) {
      addUrgentUsage(job.team(), size(job.team(), job.declared()));
    }
    if (job.stopping()) {
      markStopping(job);
      return;
    }
    if (job.idempotent() && !job.urgent() && freeCapacity.containsKey(job.worker())) {
      preemptible.add(job);
    }
  }

  /** Returns the estimated size of a job. */
  ResourceVector size(TeamId team, ResourceVector declared) {
    return estimator.estimate(team, declared);
  }

  /**
   * Returns the size to reserve on a worker. If the declared size fits, this is at most the whole
   * worker.
   */
  ResourceVector sizeOnWorker(InstanceId worker, ResourceVector size, ResourceVector declared) {
    ResourceVector workerCapacity = capacity.get(worker);
    if (!declared.fitsIn(workerCapacity)) {
      return size;
    }
    return new ResourceVector(
        Math.min(size.processorMillicores(), workerCapacity.processorMillicores()),
        Math.min(size.memoryMebibytes(), workerCapacity.memoryMebibytes()),
        size.accelerators());
  }

  void start(TeamId team, InstanceId worker, ResourceVector size) {
    allocate(team, worker, size);
    startable.merge(team, -1, Integer::sum);
  }

  private void allocate(TeamId team, InstanceId worker, ResourceVector size) {
    freeCapacity.computeIfPresent(worker, (key, free) -> free.minus(size));
    jobCounts.merge(worker, 1, Integer::sum);
    teamUsage.merge(team, size, ResourceVector::plus);
  }

  /**
   * Marks a job as stopping: it no longer counts as usage of its team, and its capacity is about to
   * be released.
   */
  void markStopping(RunningJob job) {
    ResourceVector size = size(job.team(), job.declared());
    preemptible.remove(job);
    releasing.merge(job.worker(), size, ResourceVector::plus);
    teamUsage.computeIfPresent(job.team(), (key, amount) -> amount.minus(size));
  }

  /** Returns the capacity that stopping jobs will release on a worker. */
  ResourceVector releasing(InstanceId worker) {
    return releasing.getOrDefault(worker, ResourceVector.ZERO);
  }

  /** Adds the usage of an urgent job. */
  void addUrgentUsage(TeamId team, ResourceVector size) {
    urgentUsage.merge(team, size, ResourceVector::plus);
  }

  /** Returns the dominant share of a team's urgent jobs alone, divided by its weight. */
  double weightedUrgentShare(TeamId team) {
    ResourceVector usage = urgentUsage.getOrDefault(team, ResourceVector.ZERO);
    return usage.dominantShare(total) / weights.getOrDefault(team, 1);
  }

  /** Returns whether a worker is reserved for a job that has waited long. */
  boolean hasReservation() {
    return hasReservation;
  }

  /** Reserves capacity for the one job that has waited long. */
  void reserveForLongWait(InstanceId worker, ResourceVector size) {
    hasReservation = true;
    reserve(worker, size);
  }

  /** Reserves capacity, free or about to be released, for a job that starts later. */
  void reserve(InstanceId worker, ResourceVector size) {
    freeCapacity.computeIfPresent(worker, (key, free) -> free.minus(size));
  }

  boolean mayStart(TeamId team) {
    return startable.getOrDefault(team, 0) > 0;
  }

  int jobCount(InstanceId worker) {
    return jobCounts.getOrDefault(worker, 0);
  }

  Map<InstanceId, ResourceVector> freeCapacity() {
    return freeCapacity;
  }

  ResourceVector capacity(InstanceId worker) {
    return capacity.get(worker);
  }

  List<RunningJob> preemptible() {
    return List.copyOf(preemptible);
  }

  /** Returns the dominant share of a team with additional usage, divided by its weight. */
  double weightedDominantShare(TeamId team, ResourceVector additional) {
    ResourceVector usage = teamUsage.getOrDefault(team, ResourceVector.ZERO).plus(additional);
    return usage.dominantShare(total) / weights.getOrDefault(team, 1);
  }
}
