package org.flamingochute.decision.placement;

/**
 * Settings of a {@link FairPlacement}.
 *
 * @param failedWorkersForParking different trusted workers on which a job fails before it is parked
 * @param processorOvercommitPercent part of a worker's processors by which urgent jobs may exceed
 *     its capacity when no job can be stopped for them
 * @param reserveAfterMilliseconds wait of a job without room after which a worker is kept for it
 * @param correctUsage whether observed usage corrects declared sizes
 * @param avoidFailingWorkers whether workers that fail everything get no jobs
 * @param preemptForUrgent whether idempotent jobs are stopped for urgent ones
 */
public record FairPlacementSettings(
    int failedWorkersForParking,
    int processorOvercommitPercent,
    long reserveAfterMilliseconds,
    boolean correctUsage,
    boolean avoidFailingWorkers,
    boolean preemptForUrgent) {

  /** Returns the default settings. */
  public static FairPlacementSettings defaults() {
    return new FairPlacementSettings(3, 25, 10_000, true, true, true);
  }
}
