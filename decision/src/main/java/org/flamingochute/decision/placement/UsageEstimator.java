package org.flamingochute.decision.placement;

import java.util.HashMap;
import java.util.Map;
import org.flamingochute.decision.identity.TeamId;

/**
 * Corrects the declared size of jobs by the observed usage of earlier jobs of the same team.
 *
 * <p>For each team and resource, the estimator keeps the exponentially weighted mean and mean
 * deviation of the ratio of peak usage to declared size. The estimate is the declared size times
 * the sum of the mean and a multiple of the deviation. The multiple is larger for memory, where a
 * job that gets too little fails, than for processors, where it only runs slower. With few
 * observations the correction is applied in part, so that a single unusual job does not determine
 * it. Accelerators are allocated whole and exclusively and are never corrected. Example: a team
 * that declares 8 cores and uses 2 to 3 gets an estimate near 3 cores after some jobs. Not
 * thread-safe.
 */
public final class UsageEstimator {

  private static final double SMOOTHING_FACTOR = 1.0 / 8;
  private static final double PROCESSOR_DEVIATIONS = 1.0;
  private static final double MEMORY_DEVIATIONS = 2.0;
  private static final double MINIMUM_RATIO = 0.05;
  private static final double MAXIMUM_RATIO = 20.0;
  private static final int OBSERVATIONS_FOR_FULL_WEIGHT = 4;

  private final Map<TeamId, TeamRatios> teams = new HashMap<>();

  /** Records the peak usage of a job. */
  public void observe(TeamId team, ResourceVector declared, ResourceVector peak) {
    TeamRatios ratios = teams.computeIfAbsent(team, key -> new TeamRatios());
    ratios.processors.observe(declared.processorMillicores(), peak.processorMillicores());
    ratios.memory.observe(declared.memoryMebibytes(), peak.memoryMebibytes());
  }

  /** Returns the estimated size of a job. */
  public ResourceVector estimate(TeamId team, ResourceVector declared) {
    TeamRatios ratios = teams.get(team);
    if (ratios == null) {
      return declared;
    }
    return new ResourceVector(
        ratios.processors.correct(declared.processorMillicores(), PROCESSOR_DEVIATIONS),
        ratios.memory.correct(declared.memoryMebibytes(), MEMORY_DEVIATIONS),
        declared.accelerators());
  }

  private static final class TeamRatios {
    private final Ratio processors = new Ratio();
    private final Ratio memory = new Ratio();
  }

  private static final class Ratio {
    private double mean = 1;
    private double deviation;
    private int observations;

    private void observe(long declared, long peak) {
      if (declared <= 0 || peak <= 0) {
        return;
      }
      double ratio = Math.clamp((double) peak / declared, MINIMUM_RATIO, MAXIMUM_RATIO);
      observations++;
      double smoothingFactor = Math.max(SMOOTHING_FACTOR, 1.0 / observations);
      double error = ratio - mean;
      mean += smoothingFactor * error;
      if (observations > 1) {
        deviation += smoothingFactor * (Math.abs(error) - deviation);
      }
    }

    private long correct(long declared, double deviations) {
      double weight = Math.min(1.0, (double) observations / OBSERVATIONS_FOR_FULL_WEIGHT);
      double ratio = Math.clamp(mean + deviations * deviation, MINIMUM_RATIO, MAXIMUM_RATIO);
      return Math.round(declared * (weight * ratio + (1 - weight)));
    }
  }
}
