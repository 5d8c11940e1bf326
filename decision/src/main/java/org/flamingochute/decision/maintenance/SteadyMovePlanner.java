package org.flamingochute.decision.maintenance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.PoolId;

/**
 * Moves instances from pools with a lasting surplus to pools with a lasting deficit, and back when
 * they are no longer needed.
 *
 * <p>Demand is averaged over time, and the deficit of a pool (averaged demand minus available
 * instances) is integrated while it is positive. A pool borrows an instance when the integral
 * reaches the cost of a move and the deficit has lasted for the hold time. A lender must have had a
 * surplus of at least one instance for the hold time too; its surplus is what it has above its
 * availability budget and above its averaged demand plus the headroom. The pool with the largest
 * surplus lends first; the spare pool lends only if no other pool can.
 *
 * <p>While no pool borrows and no instance is being stopped, a pool with more available instances
 * than its size returns one to a pool with fewer than its size, once it has had a surplus for the
 * hold time; the spare pool comes first, so that the buffer is restored. A pool borrows at any
 * deficit above 0 but lends only at a surplus of at least 1 above the headroom; this hysteresis
 * prevents an instance from moving back and forth.
 *
 * <p>Example with a time constant and a hold time of 60 s: a burst of five times the mean for 4 s
 * raises the averaged demand by a factor of at most 1.3, and causes no move if the deficit ends
 * within the hold time; a demand that stays doubled causes a move after about a minute.
 */
public final class SteadyMovePlanner implements MovePlanner {

  private static final long NEVER = Long.MAX_VALUE;

  private final MoveSettings settings;
  private final Map<PoolId, Trend> trends = new HashMap<>();
  private long lastMilliseconds = -1;

  /** Creates a planner without demand history. */
  public SteadyMovePlanner(MoveSettings settings) {
    this.settings = settings;
  }

  @Override
  public List<InstanceMove> nextMoves(MoveInput input, long nowMilliseconds) {
    Map<PoolId, List<PoolInstance>> available = availableByPool(input);
    updateTrends(input, available, nowMilliseconds);
    int stopsInProgress = 0;
    for (PoolInstance instance : input.instances()) {
      if (instance.condition() == InstanceCondition.STOPPED) {
        stopsInProgress++;
      }
    }
    List<InstanceMove> moves = new ArrayList<>();
    for (PoolDemand borrower : borrowers(input, nowMilliseconds)) {
      if (stopsInProgress + moves.size() >= settings.maximumMoves()) {
        return moves;
      }
      lender(input, borrower, available, nowMilliseconds)
          .ifPresent(lender -> moves.add(move(lender, borrower, available)));
    }
    if (moves.isEmpty() && stopsInProgress == 0) {
      returnMove(input, available, nowMilliseconds).ifPresent(moves::add);
    }
    return moves;
  }

  private static Map<PoolId, List<PoolInstance>> availableByPool(MoveInput input) {
    Map<PoolId, List<PoolInstance>> available = new HashMap<>();
    input.pools().forEach(pool -> available.put(pool.pool(), new ArrayList<>()));
    for (PoolInstance instance : input.instances()) {
      if (instance.isAvailable() && available.containsKey(instance.pool())) {
        available.get(instance.pool()).add(instance);
      }
    }
    return available;
  }

  private void updateTrends(
      MoveInput input, Map<PoolId, List<PoolInstance>> available, long nowMilliseconds) {
    long elapsed = lastMilliseconds < 0 ? 0 : Math.max(0, nowMilliseconds - lastMilliseconds);
    lastMilliseconds = nowMilliseconds;
    double smoothingFactor = 1 - Math.exp(-(double) elapsed / settings.demandMilliseconds());
    for (PoolDemand pool : input.pools()) {
      Trend trend = trends.get(pool.pool());
      if (trend == null) {
        trend = new Trend(Math.min(pool.instancesNeeded(), pool.size()));
        trends.put(pool.pool(), trend);
      }
      trend.averagedDemand += smoothingFactor * (pool.instancesNeeded() - trend.averagedDemand);
      int availableCount = available.get(pool.pool()).size();
      trend.updateDeficit(trend.averagedDemand - availableCount, elapsed, nowMilliseconds);
      trend.updateSurplus(surplus(pool, trend, availableCount) >= 1, nowMilliseconds);
    }
  }

  private double surplus(PoolDemand pool, Trend trend, int availableCount) {
    double retained =
        Math.max(pool.minimumAvailable(), trend.averagedDemand + settings.headroomInstances());
    return availableCount - retained;
  }

  private List<PoolDemand> borrowers(MoveInput input, long nowMilliseconds) {
    List<PoolDemand> borrowers = new ArrayList<>();
    for (PoolDemand pool : input.pools()) {
      Trend trend = trends.get(pool.pool());
      boolean hasLasted = nowMilliseconds - trend.deficitSince >= settings.holdMilliseconds();
      boolean justifiesMove = trend.deficitIntegral >= settings.costMilliseconds();
      if (trend.deficitSince != NEVER && hasLasted && justifiesMove) {
        borrowers.add(pool);
      }
    }
    borrowers.sort(Comparator.comparingDouble(pool -> -trends.get(pool.pool()).deficitIntegral));
    return borrowers;
  }

  private Optional<PoolDemand> lender(
      MoveInput input,
      PoolDemand borrower,
      Map<PoolId, List<PoolInstance>> available,
      long nowMilliseconds) {
    return input.pools().stream()
        .filter(pool -> !pool.pool().equals(borrower.pool()))
        .filter(pool -> canLend(pool, available, nowMilliseconds))
        .min(
            Comparator.comparing((PoolDemand pool) -> pool.pool().equals(input.sparePool()))
                .thenComparingDouble(pool -> -currentSurplus(pool, available))
                .thenComparing(PoolDemand::pool));
  }

  private boolean canLend(
      PoolDemand pool, Map<PoolId, List<PoolInstance>> available, long nowMilliseconds) {
    Trend trend = trends.get(pool.pool());
    return trend.surplusSince != NEVER
        && nowMilliseconds - trend.surplusSince >= settings.holdMilliseconds()
        && currentSurplus(pool, available) >= 1;
  }

  private double currentSurplus(PoolDemand pool, Map<PoolId, List<PoolInstance>> available) {
    return surplus(pool, trends.get(pool.pool()), available.get(pool.pool()).size());
  }

  private Optional<InstanceMove> returnMove(
      MoveInput input, Map<PoolId, List<PoolInstance>> available, long nowMilliseconds) {
    for (PoolDemand oversizedPool : input.pools()) {
      int availableCount = available.get(oversizedPool.pool()).size();
      if (availableCount <= oversizedPool.size()
          || !canLend(oversizedPool, available, nowMilliseconds)) {
        continue;
      }
      Optional<PoolDemand> receiver =
          input.pools().stream()
              .filter(pool -> available.get(pool.pool()).size() < pool.size())
              .min(
                  Comparator.comparing((PoolDemand pool) -> !pool.pool().equals(input.sparePool()))
                      .thenComparing(PoolDemand::pool));
      if (receiver.isPresent()) {
        return Optional.of(move(oversizedPool, receiver.get(), available));
      }
    }
    return Optional.empty();
  }

  /** Moves the least busy instance of the lender's failure domain with the most instances. */
  private InstanceMove move(
      PoolDemand lender, PoolDemand borrower, Map<PoolId, List<PoolInstance>> available) {
    List<PoolInstance> instances = available.get(lender.pool());
    Map<FailureDomain, Integer> perDomain = new HashMap<>();
    instances.forEach(instance -> perDomain.merge(instance.domain(), 1, Integer::sum));
    PoolInstance chosen =
        instances.stream()
            .min(
                Comparator.comparing((PoolInstance instance) -> -perDomain.get(instance.domain()))
                    .thenComparingInt(PoolInstance::inFlight)
                    .thenComparing(PoolInstance::instance))
            .orElseThrow();
    instances.remove(chosen);
    trends.get(lender.pool()).surplusSince = NEVER;
    trends.get(borrower.pool()).clearDeficit();
    return new InstanceMove(chosen.instance(), lender.pool(), borrower.pool());
  }

  private static final class Trend {
    private double averagedDemand;
    private double deficitIntegral;
    private long deficitSince = NEVER;
    private long surplusSince = NEVER;

    private Trend(double demand) {
      this.averagedDemand = demand;
    }

    private void updateDeficit(double deficit, long elapsed, long nowMilliseconds) {
      if (deficit <= 0) {
        clearDeficit();
        return;
      }
      if (deficitSince == NEVER) {
        deficitSince = nowMilliseconds;
      }
      deficitIntegral += deficit * elapsed;
    }

    private void clearDeficit() {
      deficitIntegral = 0;
      deficitSince = NEVER;
    }

    private void updateSurplus(boolean hasSurplus, long nowMilliseconds) {
      if (!hasSurplus) {
        surplusSince = NEVER;
      } else if (surplusSince == NEVER) {
        surplusSince = nowMilliseconds;
      }
    }
  }
}
