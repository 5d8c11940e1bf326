package org.flamingochute.scheduling.core;

import java.util.OptionalLong;

/**
 * Measures the full duration of one run, from the confirmation of its start.
 *
 * <p>A run is only measured if it does all of its task's work at full pace, and both its start and
 * its end are known well.
 */
final class RunTimer {
  private boolean valid;
  private boolean started;
  private long startedAt;

  /** Prepares for a new run; one that resumes from a checkpoint is not measured. */
  void prepare(boolean fromCheckpoint) {
    valid = !fromCheckpoint;
    started = false;
  }

  /** Continues the measurement of a run that another timer has measured so far. */
  void takeOver(RunTimer other) {
    valid = other.valid;
    started = other.started;
    startedAt = other.startedAt;
  }

  /** Notes the confirmation of the start. */
  void start(long now) {
    if (!started) {
      started = true;
      startedAt = now;
    }
  }

  /** Notes that the current run cannot be measured. */
  void invalidate() {
    valid = false;
  }

  /** Returns the time since the start, or empty if the run cannot be measured. */
  OptionalLong elapsed(long now) {
    return valid && started ? OptionalLong.of(now - startedAt) : OptionalLong.empty();
  }
}
