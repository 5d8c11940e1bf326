package org.flamingochute.scheduling.duration;

import org.flamingochute.schema.scheduling.QueuedStep;

/** Takes the durations that callers submit. */
public final class EstimatedDurations implements DurationModel {

  @Override
  public long expectedMilliseconds(QueuedStep step, String queue) {
    return step.getEstimateMilliseconds();
  }

  @Override
  public void observe(QueuedStep step, String queue, long milliseconds) {
    // Estimates do not change.
  }

  @Override
  public long version() {
    return 0;
  }

  @Override
  public long predictorChanges() {
    return 0;
  }

  @Override
  public void logChanges(long now) {
    // Estimates do not change.
  }
}
