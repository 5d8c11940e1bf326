package org.flamingochute.experiment.model;

import java.util.Map;
import java.util.TreeMap;
import org.flamingochute.decision.identity.TeamId;

/**
 * Computes the weighted max-min fair allocation by water filling: no team receives more than its
 * demand, and no team's allocation can grow without reducing that of a team which has less for its
 * weight.
 *
 * <p>Example: capacity 12 with equal weights and demands of 2, 4 and 10 yields 2, 4 and 6.
 */
public final class MaxMinFairAllocation {

  private static final double TOLERANCE = 1e-9;

  private MaxMinFairAllocation() {}

  /**
   * Returns the allocation of each team.
   *
   * @param capacity the capacity to divide
   * @param demands the demand of each team, in the unit of the capacity
   * @param weights the weight of each team in {@code demands}
   */
  public static Map<TeamId, Double> allocate(
      double capacity, Map<TeamId, Double> demands, Map<TeamId, Integer> weights) {
    Map<TeamId, Double> unsatisfiedDemands = new TreeMap<>(demands);
    Map<TeamId, Double> allocation = new TreeMap<>();
    double remainingCapacity = capacity;
    while (!unsatisfiedDemands.isEmpty()) {
      double totalWeight = 0;
      for (TeamId team : unsatisfiedDemands.keySet()) {
        totalWeight += weights.get(team);
      }
      double capacityPerWeight = remainingCapacity / totalWeight;
      Map<TeamId, Double> satisfiedDemands = new TreeMap<>();
      for (Map.Entry<TeamId, Double> entry : unsatisfiedDemands.entrySet()) {
        if (entry.getValue() <= capacityPerWeight * weights.get(entry.getKey()) + TOLERANCE) {
          satisfiedDemands.put(entry.getKey(), entry.getValue());
        }
      }
      if (satisfiedDemands.isEmpty()) {
        for (TeamId team : unsatisfiedDemands.keySet()) {
          allocation.put(team, capacityPerWeight * weights.get(team));
        }
        return allocation;
      }
      for (Map.Entry<TeamId, Double> entry : satisfiedDemands.entrySet()) {
        allocation.put(entry.getKey(), entry.getValue());
        remainingCapacity -= entry.getValue();
        unsatisfiedDemands.remove(entry.getKey());
      }
    }
    return allocation;
  }
}
