package org.flamingochute.scheduling.core;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.Team;

/** Resources that the assigned tasks of each team use in the whole fleet, for checks of its cap. */
final class TeamUsage {
  private final Map<TeamId, ResourceVector> usage = new HashMap<>();

  void add(Task task) {
    task.job.team.ifPresent(
        team -> usage.merge(team, Worker.demandOf(task.step), ResourceVector::plus));
  }

  void remove(Task task) {
    task.job.team.ifPresent(
        team -> usage.computeIfPresent(team, (id, sum) -> sum.minus(Worker.demandOf(task.step))));
  }

  ResourceVector usageOf(TeamId team) {
    return usage.getOrDefault(team, ResourceVector.ZERO);
  }

  /** Returns the declared cap of a job's team; 0 means no limit. */
  static ResourceVector capOf(Job job, FleetDeclaration declaration) {
    return job.team.flatMap(declaration::team).map(Team::cap).orElse(ResourceVector.ZERO);
  }

  /** Returns whether a task with the given demand fits within the team's cap. */
  boolean fitsCap(Optional<TeamId> team, ResourceVector cap, ResourceVector demand) {
    if (team.isEmpty()) {
      return true;
    }
    ResourceVector sum = usageOf(team.get()).plus(demand);
    return isWithin(sum.processorMillicores(), cap.processorMillicores())
        && isWithin(sum.memoryMebibytes(), cap.memoryMebibytes())
        && isWithin(sum.accelerators(), cap.accelerators());
  }

  private static boolean isWithin(long amount, long cap) {
    return cap == 0 || amount <= cap;
  }
}
