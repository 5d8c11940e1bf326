package org.flamingochute.node.front;

import java.util.concurrent.CompletableFuture;
import org.flamingochute.node.store.StoreFollower;

/** How old this entry's knowledge of the jobs is. */
public final class JobKnowledge {
  private final StoreFollower intake;
  private final StoreFollower schedule;
  private final long maximumAgeMilliseconds;

  /**
   * Creates it from the followers of both topics of jobs.
   *
   * @param maximumAgeMilliseconds age up to which the count of jobs is shown
   */
  public JobKnowledge(StoreFollower intake, StoreFollower schedule, long maximumAgeMilliseconds) {
    this.intake = intake;
    this.schedule = schedule;
    this.maximumAgeMilliseconds = maximumAgeMilliseconds;
  }

  /** Returns the age of the older topic. */
  long ageMilliseconds() {
    return Math.max(intake.ageMilliseconds(), schedule.ageMilliseconds());
  }

  /** Tells whether the count of jobs is new enough to be shown. */
  boolean isFresh() {
    return ageMilliseconds() <= maximumAgeMilliseconds;
  }

  /**
   * Reads the jobs that were accepted meanwhile.
   *
   * @return completes with true when every job is known that was accepted before this was called
   */
  CompletableFuture<Boolean> refresh() {
    return intake.refresh();
  }
}
