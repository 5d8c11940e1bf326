package org.flamingochute.decision.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.TeamId;

/** Room on the workers and usage of the teams while one placement is being decided. */
final class PoolLedger {

  private final UsageEstimator estimator;
  private final Map<InstanceId, ResourceVector> free = new LinkedHashMap<>();
  private final Map<InstanceId, ResourceVector> capacity = new HashMap<>();
  private final Map<InstanceId, Integer> jobCounts = new HashMap<>();
  private final Map<TeamId, ResourceVector> used = new HashMap<>();
  private final Map<TeamId, ResourceVector> usedByUrgent = new HashMap<>();
  private final Map<TeamId, Integer> startable = new HashMap<>();
  private final Map<TeamId, Integer> shares = new HashMap<>();
  private final Map<InstanceId, ResourceVector> coming = new HashMap<>();
  private final List<RunningJob> stoppable = new ArrayList<>();
  private boolean reservation;
  private ResourceVector total = ResourceVector.ZERO;

  PoolLedger(PlacementInput input, UsageEstimator estimator) {
    this.estimator = estimator;
    for (WorkerCondition worker : input.workers()) {
      free.put(worker.worker(), worker.capacity());
      capacity.put(worker.worker(), worker.capacity());
      total = total.plus(worker.capacity());
    }
    for (TeamPart team : input.teams()) {
      startable.put(team.team(), team.startable());
      shares.put(team.team(), Math.max(1, team.share()));
    }
    input.running().forEach(this::addRunning);
  }

  private void addRunning(RunningJob job) {
    take(job.team(), job.worker(), size(job.team(), job.declared()));
    if (job.urgent()) {
      noteUrgent(job.team(), size(job.team(), job.declared()));
    }
    if (job.stopping()) {
      markStopping(job);
      return;
    }
    if (job.idempotent() && !job.urgent() && free.containsKey(job.worker())) {
      stoppable.add(job);
    }
  }

  /** Returns the estimated size of a job. */
  ResourceVector size(TeamId team, ResourceVector declared) {
    return estimator.estimate(team, declared);
  }

  /** Returns the size to reserve on a worker: never more than the whole worker. */
  ResourceVector sizeOn(InstanceId worker, ResourceVector size, ResourceVector declared) {
    ResourceVector whole = capacity.get(worker);
    if (!declared.fitsIn(whole)) {
      return size;
    }
    return new ResourceVector(
        Math.min(size.processorMillicores(), whole.processorMillicores()),
        Math.min(size.memoryMebibytes(), whole.memoryMebibytes()),
        size.accelerators());
  }

  void start(TeamId team, InstanceId worker, ResourceVector size) {
    take(team, worker, size);
    startable.merge(team, -1, Integer::sum);
  }

  private void take(TeamId team, InstanceId worker, ResourceVector size) {
    free.computeIfPresent(worker, (key, room) -> room.minus(size));
    jobCounts.merge(worker, 1, Integer::sum);
    used.merge(team, size, ResourceVector::plus);
  }

  /** Notes that a job is being stopped: it no longer counts for its team, its room is coming. */
  void markStopping(RunningJob job) {
    ResourceVector size = size(job.team(), job.declared());
    stoppable.remove(job);
    coming.merge(job.worker(), size, ResourceVector::plus);
    used.computeIfPresent(job.team(), (key, amount) -> amount.minus(size));
  }

  /** Returns the room that stopping jobs will leave on a worker. */
  ResourceVector coming(InstanceId worker) {
    return coming.getOrDefault(worker, ResourceVector.ZERO);
  }

  /** Notes that a size is used by an urgent job. */
  void noteUrgent(TeamId team, ResourceVector size) {
    usedByUrgent.merge(team, size, ResourceVector::plus);
  }

  /** Returns the dominant part of a team's urgent jobs alone, divided by its weight. */
  double weightedUrgentPart(TeamId team) {
    ResourceVector usage = usedByUrgent.getOrDefault(team, ResourceVector.ZERO);
    return usage.dominantPart(total) / shares.getOrDefault(team, 1);
  }

  /** Tells whether room is kept for a job that has waited long. */
  boolean hasReservation() {
    return reservation;
  }

  /** Keeps room for the one job that has waited long. */
  void reserveForLongWait(InstanceId worker, ResourceVector size) {
    reservation = true;
    reserve(worker, size);
  }

  /** Keeps room, free or coming, for a job that starts later. */
  void reserve(InstanceId worker, ResourceVector size) {
    free.computeIfPresent(worker, (key, room) -> room.minus(size));
  }

  boolean mayStart(TeamId team) {
    return startable.getOrDefault(team, 0) > 0;
  }

  int jobCount(InstanceId worker) {
    return jobCounts.getOrDefault(worker, 0);
  }

  Map<InstanceId, ResourceVector> free() {
    return free;
  }

  ResourceVector capacity(InstanceId worker) {
    return capacity.get(worker);
  }

  List<RunningJob> stoppable() {
    return List.copyOf(stoppable);
  }

  /** Returns the dominant part of a team with some more usage, divided by its weight. */
  double weightedPart(TeamId team, ResourceVector more) {
    ResourceVector usage = used.getOrDefault(team, ResourceVector.ZERO).plus(more);
    return usage.dominantPart(total) / shares.getOrDefault(team, 1);
  }
}
