package org.flamingochute.scheduling.duration;

import org.flamingochute.schema.scheduling.QueuedStep;

/** Predicts how long one task of a step runs on a healthy worker. */
public sealed interface DurationModel permits EstimatedDurations, LearnedDurations {

  /** Returns the expected duration of one task of the step, in milliseconds. */
  long expectedMilliseconds(QueuedStep step, String queue);

  /** Adds the duration of a run that ended with success. */
  void observe(QueuedStep step, String queue, long milliseconds);

  /** Returns a number that changes whenever an expected duration changes noticeably. */
  long version();

  /** Returns how often the way in which durations are predicted has changed. */
  long predictorChanges();

  /** Logs the newest change of a predictor, at a bounded rate. */
  void logChanges(long now);
}
