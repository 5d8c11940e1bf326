package org.flamingochute.node.leadership;

import java.util.List;
import org.flamingochute.scheduling.worker.FinishedTask;

/**
 * Tracks which finished runs of one incarnation of a worker are recorded and can be acknowledged.
 *
 * <p>The numbers of finished runs begin anew in each incarnation, and a renewal does not name the
 * incarnation that it is sent to. An acknowledgement that reached the next incarnation would make
 * it forget runs that nobody has recorded. So an acknowledgement is sent once, and only after a
 * status of this incarnation, on the connection of that status; after a renewal that failed or was
 * not sent, a new status comes first.
 */
final class FinishedRunCursor {
  /** Acknowledges no run. */
  static final long NONE = 0;

  private long lastListed;
  private long lastRecorded;
  private long lastAcknowledged;
  private boolean renewed;

  /**
   * Applies a status of the worker.
   *
   * @param acknowledgement the acknowledgement that the renewal contained
   * @param finished finished runs in the status, in order of their numbers
   */
  void onRenewed(long acknowledgement, List<FinishedTask> finished) {
    renewed = true;
    lastAcknowledged = Math.max(lastAcknowledged, acknowledgement);
    if (!finished.isEmpty()) {
      lastListed = Math.max(lastListed, finished.getLast().number());
    }
  }

  /** Handles a renewal without a status: the worker may have restarted. */
  void onRenewalFailed() {
    renewed = false;
  }

  /** Marks finished runs up to the given number as recorded in the store. */
  void onRecorded(long number) {
    lastRecorded = Math.max(lastRecorded, number);
  }

  /** Returns the number up to which the next renewal acknowledges runs, or {@link #NONE}. */
  long nextAcknowledgement() {
    return renewed && lastRecorded > lastAcknowledged ? lastRecorded : NONE;
  }

  /**
   * Returns whether recorded runs remain to be acknowledged besides those up to the given number.
   */
  boolean hasUnacknowledgedBeyond(long acknowledgement) {
    return lastRecorded > Math.max(lastAcknowledged, acknowledgement);
  }

  /** Returns the highest number in the worker's statuses. */
  long lastListed() {
    return lastListed;
  }

  /** Returns whether the worker has listed a finished run that is not recorded yet. */
  boolean hasUnrecorded() {
    return lastListed > lastRecorded;
  }
}
