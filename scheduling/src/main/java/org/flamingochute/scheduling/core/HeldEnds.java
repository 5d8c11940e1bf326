package org.flamingochute.scheduling.core;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Finished runs of a worker that must not be acknowledged yet, since the start of another run of
 * their task may still be executed.
 */
final class HeldEnds {
  private final TreeMap<Long, OtherRuns> otherRuns = new TreeMap<>();

  private record OtherRuns(Task task, List<Integer> attempts) {
    private boolean mayStart() {
      return !Collections.disjoint(task.attemptsThatMayStart(), attempts);
    }
  }

  /** Holds the end of an attempt until no other attempt that its task has now can start. */
  void holdIfOthersMayStart(long number, Task task, int endedAttempt) {
    List<Integer> others = task.attemptsThatMayStart();
    others.removeIf(attempt -> attempt == endedAttempt);
    if (!others.isEmpty()) {
      otherRuns.put(number, new OtherRuns(task, others));
    }
  }

  /** Returns the number up to which ends may be acknowledged. */
  long lastFreeNumber(long lastAppliedNumber) {
    while (!otherRuns.isEmpty()) {
      Map.Entry<Long, OtherRuns> first = otherRuns.firstEntry();
      if (first.getValue().mayStart()) {
        return first.getKey() - 1;
      }
      otherRuns.remove(first.getKey());
    }
    return lastAppliedNumber;
  }
}
