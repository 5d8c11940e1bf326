package org.flamingochute.node.front;

import org.flamingochute.node.store.StoreFollower;

/** How old this entry's knowledge of the jobs is. */
public final class JobKnowledge {
  private final StoreFollower intake;
  private final StoreFollower schedule;
  private final long maximumAgeMilliseconds;

  /**
   * Creates it from the followers of both topics of jobs.
   *
   * @param maximumAgeMilliseconds age up to which a job that is not known does not exist
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

  /** Tells whether a job that is not known does not exist. */
  boolean isFresh() {
    return ageMilliseconds() <= maximumAgeMilliseconds;
  }
}
