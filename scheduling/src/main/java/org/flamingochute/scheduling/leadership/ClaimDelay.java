package org.flamingochute.scheduling.leadership;

/**
 * Computes how long a candidate waits before it claims a vacant leadership.
 *
 * <p>The leader communicates with every worker; a small instance in a large fleet has neither the
 * processor nor the bandwidth for that. So instances that are large enough claim first, and the
 * smaller an instance is, the longer it waits for one of them to claim. A spread by name usually
 * lets one of several equal instances claim first; when two claim at the same time, the store's
 * append condition decides.
 */
public final class ClaimDelay {
  /** Processor cores from which an instance counts as large: twice what a leader needs. */
  private static final double LARGE_CORES = 0.7;

  /** Bandwidth, in Mbit/s, from which an instance counts as large. */
  private static final double LARGE_LINK_MEGABITS_PER_SECOND = 60;

  /**
   * Delay, without the spread, of an instance without capacity; large instances claim well within.
   */
  private static final long MAXIMUM_SIZE_DELAY_MILLISECONDS = 1_500;

  /** Time over which the claims of equal instances are spread. */
  private static final int SPREAD_MILLISECONDS = 300;

  private ClaimDelay() {}

  /**
   * Returns whether an instance is large enough to lead a large fleet.
   *
   * @param cores processor capacity of the candidate, in cores of standard speed
   * @param linkMegabits bandwidth of the candidate's link in Mbit/s
   */
  public static boolean isLarge(double cores, double linkMegabits) {
    return cores >= LARGE_CORES && linkMegabits >= LARGE_LINK_MEGABITS_PER_SECOND;
  }

  /**
   * Returns the claim delay of a candidate in milliseconds.
   *
   * @param instance name of the candidate
   * @param cores processor capacity of the candidate, in cores of standard speed
   * @param linkMegabits bandwidth of the candidate's link in Mbit/s
   */
  public static long delayMilliseconds(String instance, double cores, double linkMegabits) {
    double relativeSize =
        Math.min(cores / LARGE_CORES, linkMegabits / LARGE_LINK_MEGABITS_PER_SECOND);
    double missingFraction = 1 - Math.min(1, relativeSize);
    long spread = Math.floorMod(instance.hashCode(), SPREAD_MILLISECONDS);
    return Math.round(missingFraction * MAXIMUM_SIZE_DELAY_MILLISECONDS) + spread;
  }
}
