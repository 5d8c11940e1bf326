package org.flamingochute.decision.maintenance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.PoolId;

/**
 * Moves an instance only for a lack that has lasted, from a surplus that has lasted.
 *
 * <p>Demand is averaged over time, and the lack of a pool (averaged demand less instances) is
 * integrated while it is positive. A pool borrows when the integral exceeds the cost of a move and
 * the lack has lasted for the hold time. A lender must have had its surplus for the hold time too,
 * keeps its availability budget and its headroom, and the pool with most surplus lends first; the
 * spare pool lends only when no other can. A pool that holds more than its size returns an instance
 * to a pool that holds less than its size (the spare pool before others, so that the buffer is
 * whole again) once its own averaged demand has fitted without the instance for the hold time. The
 * gap between the thresholds is the hysteresis.
 *
 * <p>Example with a time constant and a hold time of 60 s: a burst of five times the mean for 4 s
 * raises the averaged demand by a factor of 1.3 for some seconds, less than the hold time, and
 * moves nothing; a demand that stays doubled moves an instance after about a minute.
 */
public final class SteadyMovePlanner implements MovePlanner {

  private static final long NEVER = Long.MAX_VALUE;

  private final MoveSettings settings;
  private final Map<PoolId, Trend> trends = new HashMap<>();
  private long lastMilliseconds = -1;

  /** Creates a planner that has seen no demand yet. */
  public SteadyMovePlanner(MoveSettings settings) {
    this.settings = settings;
  }

  @Override
  public List<InstanceMove> nextMoves(MoveInput input, long nowMilliseconds) {
    Map<PoolId, List<PoolInstance>> available = availableByPool(input);
    updateTrends(input, available, nowMilliseconds);
    int underWay = 0;
    for (PoolInstance instance : input.instances()) {
      if (instance.condition() == InstanceCondition.STOPPED) {
        underWay++;
      }
    }
    List<InstanceMove> moves = new ArrayList<>();
    for (PoolDemand borrower : borrowers(input, nowMilliseconds)) {
      if (underWay + moves.size() >= settings.maximumMoves()) {
        return moves;
      }
      lender(input, borrower, available, nowMilliseconds)
          .ifPresent(lender -> moves.add(move(lender, borrower, available)));
    }
    if (moves.isEmpty() && underWay == 0) {
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
    double gain = 1 - Math.exp(-(double) elapsed / settings.demandMilliseconds());
    for (PoolDemand pool : input.pools()) {
      Trend trend = trends.get(pool.pool());
      if (trend == null) {
        trend = new Trend(Math.min(pool.instancesNeeded(), pool.size()));
        trends.put(pool.pool(), trend);
      }
      trend.demand += gain * (pool.instancesNeeded() - trend.demand);
      int held = available.get(pool.pool()).size();
      trend.updateLack(trend.demand - held, elapsed, nowMilliseconds);
      trend.updateSurplus(surplus(pool, trend, held) >= 1, nowMilliseconds);
    }
  }

  private double surplus(PoolDemand pool, Trend trend, int held) {
    double kept = Math.max(pool.minimumAvailable(), trend.demand + settings.headroomInstances());
    return held - kept;
  }

  private List<PoolDemand> borrowers(MoveInput input, long nowMilliseconds) {
    List<PoolDemand> borrowers = new ArrayList<>();
    for (PoolDemand pool : input.pools()) {
      Trend trend = trends.get(pool.pool());
      boolean lasted = nowMilliseconds - trend.lackSince >= settings.holdMilliseconds();
      boolean worthMove = trend.lackIntegral >= settings.costMilliseconds();
      if (trend.lackSince != NEVER && lasted && worthMove) {
        borrowers.add(pool);
      }
    }
    borrowers.sort(Comparator.comparingDouble(pool -> -trends.get(pool.pool()).lackIntegral));
    return borrowers;
  }

  private Optional<PoolDemand> lender(
      MoveInput input,
      PoolDemand borrower,
      Map<PoolId, List<PoolInstance>> available,
      long nowMilliseconds) {
    return input.pools().stream()
        .filter(pool -> !pool.pool().equals(borrower.pool()))
        .filter(pool -> mayLend(pool, available, nowMilliseconds))
        .min(
            Comparator.comparing((PoolDemand pool) -> pool.pool().equals(input.sparePool()))
                .thenComparingDouble(pool -> -presentSurplus(pool, available))
                .thenComparing(PoolDemand::pool));
  }

  private boolean mayLend(
      PoolDemand pool, Map<PoolId, List<PoolInstance>> available, long nowMilliseconds) {
    Trend trend = trends.get(pool.pool());
    return trend.surplusSince != NEVER
        && nowMilliseconds - trend.surplusSince >= settings.holdMilliseconds()
        && presentSurplus(pool, available) >= 1;
  }

  private double presentSurplus(PoolDemand pool, Map<PoolId, List<PoolInstance>> available) {
    return surplus(pool, trends.get(pool.pool()), available.get(pool.pool()).size());
  }

  private Optional<InstanceMove> returnMove(
      MoveInput input, Map<PoolId, List<PoolInstance>> available, long nowMilliseconds) {
    for (PoolDemand holder : input.pools()) {
      int held = available.get(holder.pool()).size();
      if (held <= holder.size() || !mayLend(holder, available, nowMilliseconds)) {
        continue;
      }
      Optional<PoolDemand> home =
          input.pools().stream()
              .filter(pool -> available.get(pool.pool()).size() < pool.size())
              .min(
                  Comparator.comparing((PoolDemand pool) -> !pool.pool().equals(input.sparePool()))
                      .thenComparing(PoolDemand::pool));
      if (home.isPresent()) {
        return Optional.of(move(holder, home.get(), available));
      }
    }
    return Optional.empty();
  }

  /** Moves the least busy instance of the lender's most crowded failure domain. */
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
    trends.get(borrower.pool()).clearLack();
    return new InstanceMove(chosen.instance(), lender.pool(), borrower.pool());
  }

  private static final class Trend {
    private double demand;
    private double lackIntegral;
    private long lackSince = NEVER;
    private long surplusSince = NEVER;

    private Trend(double demand) {
      this.demand = demand;
    }

    private void updateLack(double lack, long elapsed, long nowMilliseconds) {
      if (lack <= 0) {
        clearLack();
        return;
      }
      if (lackSince == NEVER) {
        lackSince = nowMilliseconds;
      }
      lackIntegral += lack * elapsed;
    }

    private void clearLack() {
      lackIntegral = 0;
      lackSince = NEVER;
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
