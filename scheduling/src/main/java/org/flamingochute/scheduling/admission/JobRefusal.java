package org.flamingochute.scheduling.admission;

import org.flamingochute.decision.identity.JobId;

/**
 * The decision not to accept a job, with the data that it rests on.
 *
 * @param predictedWaitMilliseconds predicted wait for capacity in the job's pool
 * @param loadAgeMilliseconds maximum age of that prediction
 * @param expectedMilliseconds expected duration of the job without waiting
 * @param objectiveMilliseconds time after its acceptance within which the job should end
 * @param retryAfterSeconds time after which the caller should submit the job again
 */
public record JobRefusal(
    long predictedWaitMilliseconds,
    long loadAgeMilliseconds,
    long expectedMilliseconds,
    long objectiveMilliseconds,
    long retryAfterSeconds) {
  private static final long MAXIMUM_RETRY_AFTER_MILLISECONDS = 5_000;
  private static final double MILLISECONDS_PER_SECOND = 1_000;

  /** 2 to the power of 32 divided by the golden ratio, which spreads similar hash codes evenly. */
  private static final int HASH_MULTIPLIER = 0x9E3779B9;

  private static final double HASH_RANGE = 1L << Integer.SIZE;

  /**
   * Returns the predicted wait and a spread of up to the same time, in whole seconds. The wait
   * counts with half of the maximum at most: otherwise all callers with a long wait would return
   * after the same time.
   */
  static long retryAfterSeconds(JobId job, long predictedWaitMilliseconds) {
    long wait = Math.min(predictedWaitMilliseconds, MAXIMUM_RETRY_AFTER_MILLISECONDS / 2);
    int hash = job.value().hashCode() * HASH_MULTIPLIER;
    double spread = wait * (Integer.toUnsignedLong(hash) / HASH_RANGE);
    return Math.max(1, (long) Math.ceil((wait + spread) / MILLISECONDS_PER_SECOND));
  }
}
