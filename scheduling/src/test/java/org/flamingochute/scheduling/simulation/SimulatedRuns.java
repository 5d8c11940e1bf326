package org.flamingochute.scheduling.simulation;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.flamingochute.decision.identity.TaskId;

/** What ran where, and the promises about runs that are checked from it. */
final class SimulatedRuns {
  private final Set<TaskId> acknowledgedDone = new HashSet<>();
  private final Map<TaskId, Integer> starts = new HashMap<>();
  private final Map<TaskId, String> lastWorker = new HashMap<>();

  /** A worker began a run; it must not be one whose success was acknowledged. */
  void started(TaskId task, String worker) {
    starts.merge(task, 1, Integer::sum);
    lastWorker.put(task, worker);
    if (acknowledgedDone.contains(task)) {
      throw new AssertionError(task + " starts after its end was acknowledged");
    }
  }

  /** The success of a task was acknowledged. */
  void acknowledged(TaskId task) {
    acknowledgedDone.add(task);
  }

  int startsOf(TaskId task) {
    return starts.getOrDefault(task, 0);
  }

  String lastWorkerOf(TaskId task) {
    return lastWorker.getOrDefault(task, "none");
  }

  /** No task may run on two workers at once. */
  static void checkOverlaps(Collection<SimulatedWorker> workers, long now) {
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
