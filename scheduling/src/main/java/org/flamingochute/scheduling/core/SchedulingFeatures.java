package org.flamingochute.scheduling.core;

/**
 * Optional parts of the scheduler that an operator enables in the settings.
 *
 * @param learnedDurations learn the durations of tasks by queue and image
 * @param speculativeCopies start a second run of a slow task if its step allows copies
 * @param taskSeparation place images that slow each other down on different workers
 * @param compactRecords write the progress of jobs in a compact form
 * @param loadShedding refuse jobs in excess of a team's rate while their pool is overloaded
 */
public record SchedulingFeatures(
    boolean learnedDurations,
    boolean speculativeCopies,
    boolean taskSeparation,
    boolean compactRecords,
    boolean loadShedding) {
  /** No optional part. */
  public static final SchedulingFeatures NONE =
      new SchedulingFeatures(false, false, false, false, false);
}
