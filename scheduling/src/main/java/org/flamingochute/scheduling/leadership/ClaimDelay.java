package org.flamingochute.scheduling.leadership;

/**
 * How long a candidate waits before it claims a leadership that is free.
 *
 * <p>The leader talks to every worker, which a small instance of a large fleet has neither the
 * processor nor the link for. So instances that are large enough come first, and a small one claims
 * only when none of them did. Among equals a spread by name lets one usually come first; when two
 * claim at once, the store's condition decides.
 */
public final class ClaimDelay {
  /** Processor, in cores, above which an instance counts as large: twice what a leader needs. */
  private static final double LARGE_CORES = 0.7;

  /** Link, in Mbit/s, above which an instance counts as large. */
  private static final double LARGE_LINK_MEGABITS = 60;

  /** Longest delay of a small instance, in which a large one has surely claimed. */
  private static final long SIZE_MILLISECONDS = 1_500;

  /** Claims of equal instances are spread over this time. */
  private static final int SPREAD_MILLISECONDS = 300;

  private ClaimDelay() {}

  /**
   * Returns the delay in milliseconds.
   *
   * @param instance name of the candidate
   * @param cores processor time that it has, in cores of the usual speed
   * @param linkMegabits bandwidth of its link in Mbit/s
   */
  public static long of(String instance, double cores, double linkMegabits) {
    double size = Math.min(cores / LARGE_CORES, linkMegabits / LARGE_LINK_MEGABITS);
    double missing = 1 - Math.min(1, size);
    long spread = Math.floorMod(instance.hashCode(), SPREAD_MILLISECONDS);
    return Math.round(missing * SIZE_MILLISECONDS) + spread;
  }
}
