package org.flamingochute.experiment.model;

import java.util.Map;
import java.util.TreeMap;
import org.flamingochute.decision.identity.TeamId;

/**
 * The weighted max-min fair allocation by water filling: no team gets more than it asks for, and
 * none can get more without another that has less for its weight getting less.
 *
 * <p>Example: capacity 12, equal weights, demands 2, 4 and 10 give 2, 4 and 6.
 */
public final class MaximumMinimumShare {

  private static final double TOLERANCE = 1e-9;

  private MaximumMinimumShare() {}

  /**
   * Returns the allocation.
   *
   * @param capacity what there is to divide
   * @param demands what each team asks for, in the same unit
   * @param weights the weight of each team of the demands
   */
  public static Map<TeamId, Double> allocate(
      double capacity, Map<TeamId, Double> demands, Map<TeamId, Integer> weights) {
    Map<TeamId, Double> open = new TreeMap<>(demands);
    Map<TeamId, Double> allocation = new TreeMap<>();
    double left = capacity;
    while (!open.isEmpty()) {
      double weight = 0;
      for (TeamId team : open.keySet()) {
        weight += weights.get(team);
      }
      double level = left / weight;
      Map<TeamId, Double> satisfied = new TreeMap<>();
      for (Map.Entry<TeamId, Double> entry : open.entrySet()) {
        if (entry.getValue() <= level * weights.get(entry.getKey()) + TOLERANCE) {
          satisfied.put(entry.getKey(), entry.getValue());
        }
      }
      if (satisfied.isEmpty()) {
        for (TeamId team : open.keySet()) {
          allocation.put(team, level * weights.get(team));
        }
        return allocation;
      }
      for (Map.Entry<TeamId, Double> entry : satisfied.entrySet()) {
        allocation.put(entry.getKey(), entry.getValue());
        left -= entry.getValue();
        open.remove(entry.getKey());
      }
    }
    return allocation;
  }
}
