package org.flamingochute.decision.placement;

/**
 * Settings of a {@link FairPlacement}.
 *
 * @param failedWorkersForParking number of distinct trusted workers on which a job must fail to be
 *     parked
 * @param processorOvercommitPercent percentage by which urgent jobs may exceed the processor
 *     capacity of a worker when no job can be preempted for them
 * @param reserveAfterMilliseconds time since its submission after which capacity of a worker is
 *     reserved for a job that fits nowhere
 * @param correctUsage whether observed usage corrects declared sizes
 * @param avoidFailingWorkers whether workers on which jobs keep failing are assigned no jobs
 * @param preemptForUrgent whether idempotent jobs are preempted by urgent ones
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
