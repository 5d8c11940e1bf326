package org.flamingochute.node.front;

import java.util.concurrent.CompletableFuture;
import org.flamingochute.node.store.StoreFollower;

/** The age of this node's state of the jobs. */
public final class JobFreshness {
  private final StoreFollower intake;
  private final StoreFollower schedule;
  private final long maximumAgeMilliseconds;

  /**
   * Creates a check from the followers of both topics that contain records of jobs.
   *
   * @param maximumAgeMilliseconds maximum age at which the count of jobs is returned to callers
   */
  public JobFreshness(StoreFollower intake, StoreFollower schedule, long maximumAgeMilliseconds) {
    this.intake = intake;
    this.schedule = schedule;
    this.maximumAgeMilliseconds = maximumAgeMilliseconds;
  }

  /** Returns the age of the older of the two topics' states, in milliseconds. */
  long ageMilliseconds() {
    return Math.max(intake.ageMilliseconds(), schedule.ageMilliseconds());
  }

  /** Returns whether the count of jobs is recent enough to be returned to callers. */
  boolean isFresh() {
    return ageMilliseconds() <= maximumAgeMilliseconds;
  }

  /**
   * Reads jobs that were accepted since the last read.
   *
   * @return completes with true when all jobs that were accepted before this call have been read
   */
  CompletableFuture<Boolean> refresh() {
    return intake.refresh();
  }
}
