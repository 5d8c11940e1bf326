package org.flamingochute.scheduling.simulation;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.flamingochute.decision.identity.TaskId;

/** The history of runs on the workers, with checks of the invariants on runs. */
final class SimulatedRuns {
  private final Set<TaskId> acknowledgedDone = new HashSet<>();
  private final Map<TaskId, Integer> starts = new HashMap<>();
  private final Map<TaskId, String> lastWorker = new HashMap<>();

  /** Records that a worker started a run; fails if the success of its task was acknowledged. */
  void onStarted(TaskId task, String worker) {
    starts.merge(task, 1, Integer::sum);
    lastWorker.put(task, worker);
    if (acknowledgedDone.contains(task)) {
      throw new AssertionError(task + " starts after its end was acknowledged");
    }
  }

  /** Records that the success of a task was acknowledged. */
  void onAcknowledged(TaskId task) {
    acknowledgedDone.add(task);
  }

  int startsOf(TaskId task) {
    return starts.getOrDefault(task, 0);
  }

  String lastWorkerOf(TaskId task) {
    return lastWorker.getOrDefault(task, "none");
  }

  /** Fails if a task runs on two workers at once. */
  static void checkNoOverlaps(Collection<SimulatedWorker> workers, long now) {
    Map<TaskId, String> running = new HashMap<>();
    for (SimulatedWorker worker : workers) {
      for (SimulatedWorker.Run run : worker.runs()) {
        String other = running.put(run.task, worker.name);
        if (other != null) {
          throw new AssertionError(
              run.task + " runs on " + other + " and on " + worker.name + " at " + now);
        }
      }
    }
  }
}
