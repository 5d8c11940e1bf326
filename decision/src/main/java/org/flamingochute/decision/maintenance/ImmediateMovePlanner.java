package org.flamingochute.decision.maintenance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.decision.identity.PoolId;

/**
 * Reacts to the current demand immediately: moves one instance to every pool that needs more
 * instances than are available in it, from the pool with the largest surplus, if that is at least
 * one. A simple baseline to compare {@link SteadyMovePlanner} with.
 */
public final class ImmediateMovePlanner implements MovePlanner {

  @Override
  public List<InstanceMove> nextMoves(MoveInput input, long nowMilliseconds) {
    Map<PoolId, List<PoolInstance>> byPool = new HashMap<>();
    for (PoolInstance instance : input.instances()) {
      if (instance.isAvailable()) {
        byPool.computeIfAbsent(instance.pool(), key -> new ArrayList<>()).add(instance);
      }
    }
    List<InstanceMove> moves = new ArrayList<>();
    for (PoolDemand borrower : input.pools()) {
      int availableCount = byPool.getOrDefault(borrower.pool(), List.of()).size();
      if (borrower.instancesNeeded() <= availableCount) {
        continue;
      }
      input.pools().stream()
          .filter(lender -> surplus(lender, byPool) >= 1)
          .max(Comparator.comparingDouble(lender -> surplus(lender, byPool)))
          .ifPresent(lender -> moves.add(move(lender, borrower, byPool)));
    }
    return moves;
  }

  private static InstanceMove move(
      PoolDemand lender, PoolDemand borrower, Map<PoolId, List<PoolInstance>> byPool) {
    PoolInstance instance = byPool.get(lender.pool()).removeLast();
    return new InstanceMove(instance.instance(), lender.pool(), borrower.pool());
  }

  private static double surplus(PoolDemand lender, Map<PoolId, List<PoolInstance>> byPool) {
    int availableCount = byPool.getOrDefault(lender.pool(), List.of()).size();
    return availableCount - Math.max(lender.minimumAvailable(), lender.instancesNeeded());
  }
}
