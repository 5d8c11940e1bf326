package org.flamingochute.scheduling.leadership;

/**
 * Computes the epochs of leadership terms. Each claim has an epoch that is higher than all before
 * it and that differs from those of concurrent candidates, unless their numbers are equal modulo
 * 2<sup>20</sup>. The store treats an append with the epoch and sequence number of an earlier one
 * as its repetition, so two candidates with the same epoch would both receive the response that
 * they succeeded.
 */
public final class LeaderEpoch {
  /** Number of candidates that epochs can distinguish. */
  private static final long CANDIDATE_RANGE = 1L << 20;

  private LeaderEpoch() {}

  /**
   * Returns the epoch of a claim.
   *
   * @param previous the highest epoch so far, or 0
   * @param candidate number that distinguishes the claiming process from others
   */
  public static long next(long previous, long candidate) {
    long term = previous / CANDIDATE_RANGE + 1;
    return term * CANDIDATE_RANGE + Math.floorMod(candidate, CANDIDATE_RANGE);
  }
}
