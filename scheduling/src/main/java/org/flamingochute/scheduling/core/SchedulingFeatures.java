package org.flamingochute.scheduling.core;

/**
 * Optional parts of the scheduler that an operator enables in the settings.
 *
 * @param learnedDurations learn the durations of tasks by queue and image
 * @param speculativeCopies start a second run of a slow task if its step allows copies
 * @param taskSeparation place images that slow each other down on different workers
 * @param loadShedding refuse jobs in excess of a team's rate while their pool is overloaded
 * @param compactRecords write the progress of jobs in a compact form
 * @param jobStatusTopic write the status of jobs to a topic of its own
 */
public record SchedulingFeatures(
    boolean learnedDurations,
    boolean speculativeCopies,
    boolean taskSeparation,
    boolean loadShedding,
    boolean compactRecords,
    boolean jobStatusTopic) {
  /** No optional part. */
  public static final SchedulingFeatures NONE = builder().build();

  /** Returns a builder without any optional part. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds a set of optional parts. */
  public static final class Builder {
    private boolean learnedDurations;
    private boolean speculativeCopies;
    private boolean taskSeparation;
    private boolean loadShedding;
    private boolean compactRecords;
    private boolean jobStatusTopic;

    private Builder() {}

    /** Sets whether durations of tasks are learned. */
    public Builder learnedDurations(boolean value) {
      learnedDurations = value;
      return this;
    }

    /** Sets whether slow tasks may get a second run. */
    public Builder speculativeCopies(boolean value) {
      speculativeCopies = value;
      return this;
    }

    /** Sets whether images that slow each other down are kept apart. */
    public Builder taskSeparation(boolean value) {
      taskSeparation = value;
      return this;
    }

    /** Sets whether excess jobs are refused while their pool is overloaded. */
    public Builder loadShedding(boolean value) {
      loadShedding = value;
      return this;
    }

    /** Sets whether the progress of jobs is written in a compact form. */
    public Builder compactRecords(boolean value) {
      compactRecords = value;
      return this;
    }

    /** Sets whether the status of jobs is written to a topic of its own. */
    public Builder jobStatusTopic(boolean value) {
      jobStatusTopic = value;
      return this;
    }

    /** Returns the set. */
    public SchedulingFeatures build() {
      return new SchedulingFeatures(
          learnedDurations,
          speculativeCopies,
          taskSeparation,
          loadShedding,
          compactRecords,
          jobStatusTopic);
    }
  }
}
