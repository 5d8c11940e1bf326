package org.flamingochute.scheduling.core;

import java.util.Map;
import java.util.TreeMap;

/**
 * Finished runs of a worker that must not be acknowledged yet, since the start of another run of
 * their task may still be executed.
 */
final class HeldEnds {
  private final TreeMap<Long, OtherRun> otherRuns = new TreeMap<>();

  private record OtherRun(Task task, int attempt) {
    private boolean mayStart() {
      return task.attemptsThatMayStart().contains(attempt);
    }
  }

  /** Holds an end until an attempt of its task can no longer start. */
  void hold(long number, Task task, int attempt) {
    otherRuns.put(number, new OtherRun(task, attempt));
  }

  /** Returns the number up to which ends may be acknowledged. */
  long lastFreeNumber(long lastAppliedNumber) {
    while (!otherRuns.isEmpty()) {
      Map.Entry<Long, OtherRun> first = otherRuns.firstEntry();
      if (first.getValue().mayStart()) {
        return first.getKey() - 1;
      }
      otherRuns.remove(first.getKey());
    }
    return lastAppliedNumber;
  }
}
