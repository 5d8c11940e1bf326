package org.flamingochute.decision.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.TeamId;

/**
 * Starts jobs in the order of submission on the first worker with room for the declared size, and
 * waits while the oldest job has none. The plain baseline that {@link FairPlacement} is compared
 * with.
 */
public final class FirstComePlacement implements PlacementPolicy {

  @Override
  public List<PlacementDecision> decide(PlacementInput input, long nowMilliseconds) {
    Map<InstanceId, ResourceVector> free = new HashMap<>();
    input.workers().forEach(worker -> free.put(worker.worker(), worker.capacity()));
    for (RunningJob job : input.running()) {
      free.computeIfPresent(job.worker(), (key, room) -> room.minus(job.declared()));
    }
    Map<TeamId, Integer> startable = new HashMap<>();
    input.teams().forEach(team -> startable.put(team.team(), team.startable()));
    List<PlacementDecision> decisions = new ArrayList<>();
    for (WaitingJob job : input.waiting()) {
      if (startable.getOrDefault(job.team(), 0) <= 0) {
        continue;
      }
      InstanceId worker = firstWithRoom(input.workers(), free, job);
      if (worker == null) {
        break;
      }
      free.computeIfPresent(worker, (key, room) -> room.minus(job.declared()));
      startable.merge(job.team(), -1, Integer::sum);
      decisions.add(new PlacementDecision.Start(job.job(), worker));
    }
    return decisions;
  }

  private static InstanceId firstWithRoom(
      List<WorkerCondition> workers, Map<InstanceId, ResourceVector> free, WaitingJob job) {
    for (WorkerCondition worker : workers) {
      if (job.declared().fitsIn(free.get(worker.worker()))) {
        return worker.worker();
      }
    }
    return null;
  }
}
