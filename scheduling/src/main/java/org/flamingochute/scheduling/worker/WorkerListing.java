package org.flamingochute.scheduling.worker;

import java.util.List;

/**
 * A worker's answer to a renewal of its lease.
 *
 * @param bornMilliseconds start of the incarnation that answered, or 0 when it did not tell
 * @param clockMilliseconds the worker's clock
 * @param running what runs there
 * @param finished ends that were not acknowledged yet, in order
 */
public record WorkerListing(
    long bornMilliseconds,
    long clockMilliseconds,
    List<RunningTask> running,
    List<FinishedTask> finished) {

  /** Copies the lists. */
  public WorkerListing {
    running = List.copyOf(running);
    finished = List.copyOf(finished);
  }
}
