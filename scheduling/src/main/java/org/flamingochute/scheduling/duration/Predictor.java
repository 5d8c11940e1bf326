package org.flamingochute.scheduling.duration;

/** A way to predict the duration of a task. */
enum Predictor {
  /** The submitted estimate. */
  ESTIMATE,
  /** The submitted estimate, corrected by the learned factor. */
  CORRECTED_ESTIMATE,
  /** The learned mean duration. */
  MEAN
}
