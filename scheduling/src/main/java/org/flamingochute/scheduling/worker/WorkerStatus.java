package org.flamingochute.scheduling.worker;

import java.util.List;

/**
 * The status that a worker returns with each lease renewal.
 *
 * @param startedMilliseconds start time of the incarnation that answered, or 0 if it did not report
 *     it
 * @param clockMilliseconds the worker's clock at its response
 * @param running running tasks
 * @param finished finished runs that have not been acknowledged, in order of their numbers
 */
public record WorkerStatus(
    long startedMilliseconds,
    long clockMilliseconds,
    List<RunningTask> running,
    List<FinishedTask> finished) {

  /** Copies the lists. */
  public WorkerStatus {
    running = List.copyOf(running);
    finished = List.copyOf(finished);
  }

  /** Returns whether this is the status of an incarnation, as far as both start times are known. */
  public boolean isOf(WorkerKey incarnation) {
    return startedMilliseconds == 0
        || incarnation.startedMilliseconds() == 0
        || startedMilliseconds == incarnation.startedMilliseconds();
  }
}
