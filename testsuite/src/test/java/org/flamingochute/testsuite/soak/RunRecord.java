package org.flamingochute.testsuite.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One run of a task at a worker.
 *
 * @param start the start
 * @param endAt time at which it ended
 * @param how how it ended; {@code killed} if its worker was killed, {@code open} if it still runs
 * @param acknowledgedAt time at which an end {@code done} was acknowledged while the lease held, or
 *     {@link #NEVER}
 */
record RunRecord(RunEvent start, long endAt, String how, long acknowledgedAt) {
  static final long NEVER = Long.MAX_VALUE;

  /** Times of two workers, each converted from its own clock, differ by up to this error. */
  private static final long RESOLUTION_MILLISECONDS = 3;

  /** Combines the events of one incarnation to runs, ordered by their starts. */
  static List<RunRecord> ofIncarnation(List<RunEvent> events) {
    long lastAt = Long.MAX_VALUE;
    long leaseUntil = 0;
    boolean isKilled = false;
    Map<String, RunEvent> ends = new HashMap<>();
    Map<String, RunEvent> acknowledgements = new HashMap<>();
    for (RunEvent event : events) {
      switch (event.kind()) {
        case END -> ends.put(key(event), event);
        case ACKNOWLEDGED -> acknowledgements.put(key(event), event);
        case LEASE -> leaseUntil = Math.max(leaseUntil, event.until());
        case KILLED -> {
          lastAt = event.at();
          isKilled = true;
        }
        default -> {}
      }
    }
    List<RunRecord> runs = new ArrayList<>();
    for (RunEvent event : events) {
      if (event.kind() != RunEvent.Kind.START) {
        continue;
      }
      RunEvent end = ends.get(key(event));
      RunEvent acknowledgement = acknowledgements.get(key(event));
      runs.add(
          new RunRecord(
              event,
              end != null ? end.at() : Math.min(lastAt, leaseUntil),
              end != null ? end.detail() : isKilled ? "killed" : "open",
              acknowledgement != null && acknowledgement.detail().equals("done")
                  ? acknowledgement.at()
                  : NEVER));
    }
    runs.sort(Comparator.comparingLong(run -> run.start().at()));
    return runs;
  }

  private static String key(RunEvent event) {
    return event.task() + "#" + event.attempt();
  }

  boolean acknowledged() {
    return acknowledgedAt != NEVER;
  }

  /** Returns whether its success had been acknowledged when another run started. */
  boolean isAcknowledgedBefore(RunRecord other) {
    return acknowledgedAt < other.start.at() - RESOLUTION_MILLISECONDS;
  }

  /** Returns whether the run had ended when another one started. */
  boolean endsBefore(RunRecord other) {
    return endAt <= other.start.at() + RESOLUTION_MILLISECONDS;
  }

  boolean overlaps(RunRecord other) {
    return !endsBefore(other) && !other.endsBefore(this);
  }
}
