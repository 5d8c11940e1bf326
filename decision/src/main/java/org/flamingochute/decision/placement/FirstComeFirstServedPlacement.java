package org.flamingochute.decision.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.TeamId;

/**
 * Starts jobs in order of submission on the first worker on which the declared size fits. Jobs of
 * teams that may not start any are skipped; while the oldest other job fits nowhere, later ones
 * wait too. A simple baseline to compare {@link FairPlacement} with.
 */
public final class FirstComeFirstServedPlacement implements PlacementPolicy {

  @Override
  public List<PlacementDecision> decide(PlacementInput input, long nowMilliseconds) {
    Map<InstanceId, ResourceVector> freeCapacity = new HashMap<>();
    input.workers().forEach(worker -> freeCapacity.put(worker.worker(), worker.capacity()));
    for (RunningJob job : input.running()) {
      freeCapacity.computeIfPresent(job.worker(), (key, free) -> free.minus(job.declared()));
    }
    Map<TeamId, Integer> startable = new HashMap<>();
    input.teams().forEach(team -> startable.put(team.team(), team.startable()));
    List<PlacementDecision> decisions = new ArrayList<>();
    for (WaitingJob job : input.waiting()) {
      if (startable.getOrDefault(job.team(), 0) <= 0) {
        continue;
      }
      InstanceId worker = firstFittingWorker(input.workers(), freeCapacity, job);
      if (worker == null) {
        break;
      }
      freeCapacity.computeIfPresent(worker, (key, free) -> free.minus(job.declared()));
      startable.merge(job.team(), -1, Integer::sum);
      decisions.add(new PlacementDecision.Start(job.job(), worker));
    }
    return decisions;
  }

  private static InstanceId firstFittingWorker(
      List<WorkerCapacity> workers, Map<InstanceId, ResourceVector> freeCapacity, WaitingJob job) {
    for (WorkerCapacity worker : workers) {
      if (job.declared().fitsIn(freeCapacity.get(worker.worker()))) {
        return worker.worker();
      }
    }
    return null;
  }
}
