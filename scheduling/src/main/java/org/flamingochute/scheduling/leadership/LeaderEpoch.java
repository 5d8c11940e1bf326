package org.flamingochute.scheduling.leadership;

/**
 * Numbers of terms. Each claim gets a number that is higher than all before it and that differs
 * from those of other candidates at the same time: the store answers an append with the epoch and
 * sequence number of an earlier one as a repetition of that one, so two candidates with one number
 * would both believe that they succeeded.
 */
public final class LeaderEpoch {
  /** Candidates that numbers tell apart. */
  private static final long CANDIDATES = 1L << 20;

  private LeaderEpoch() {}

  /**
   * Returns the number of a claim.
   *
   * @param previous the highest number so far, or 0
   * @param candidate any number that tells the claiming process from others
   */
  public static long next(long previous, long candidate) {
    long term = previous / CANDIDATES + 1;
    return term * CANDIDATES + Math.floorMod(candidate, CANDIDATES);
  }
}
