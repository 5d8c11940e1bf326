package org.flamingochute.engine.maintenance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.decision.agreement.AgreedView;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.maintenance.InstanceCondition;
import org.flamingochute.decision.maintenance.InstanceMove;
import org.flamingochute.decision.maintenance.MoveInput;
import org.flamingochute.decision.maintenance.MovePlanner;
import org.flamingochute.decision.maintenance.MoveSettings;
import org.flamingochute.decision.maintenance.PoolDemand;
import org.flamingochute.decision.maintenance.PoolInstance;
import org.flamingochute.decision.maintenance.ShrinkPlanner;
import org.flamingochute.decision.maintenance.SteadyMovePlanner;
import org.flamingochute.schema.InstanceImage;
import org.flamingochute.schema.InstanceSection;
import org.flamingochute.schema.InstanceStopRequested;
import org.flamingochute.schema.PoolSection;
import org.flamingochute.schema.StopPurpose;

/**
 * Adjusts the pools to their configured sizes: pinned instances are moved to their pools, instances
 * that exceed the sum of the sizes are retired, and others are moved by demand.
 *
 * <p>Instances of a pool above its size are retired only up to the surplus of all pools of its kind
 * together; the others were borrowed from another pool and are moved back. Example: pool a has 7
 * instances and size 6, the spare pool 5 instances and size 6: no instance is retired. When the
 * size of a is reduced to 4, two of its three surplus instances are retired.
 */
final class PoolBalancer {

  private static final String WORKER_KIND = "worker";
  private static final List<String> KINDS = List.of("runner", WORKER_KIND);

  private final AgreedView agreed;
  private final PoolReader poolReader;
  private final StopRequester requester;
  private final DemandEstimator demand;
  private final ShrinkPlanner shrinkPlanner = new ShrinkPlanner();
  private final Map<String, MovePlanner> movePlanners = new HashMap<>();

  PoolBalancer(
      AgreedView agreed, PoolReader poolReader, StopRequester requester, DemandEstimator demand) {
    this.agreed = agreed;
    this.poolReader = poolReader;
    this.requester = requester;
    this.demand = demand;
    for (String kind : KINDS) {
      movePlanners.put(kind, new SteadyMovePlanner(MoveSettings.defaults()));
    }
  }

  /** Requests the stops that are needed now. */
  void balance(long nowMilliseconds) {
    movePinnedInstances();
    for (String kind : KINDS) {
      Map<PoolId, PoolSection> poolsOfKind = poolsOfKind(kind);
      retireSurplus(poolsOfKind);
      moveByDemand(kind, poolsOfKind, nowMilliseconds);
    }
  }

  private void movePinnedInstances() {
    for (Map.Entry<String, InstanceSection> pin :
        agreed.description().getInstancesMap().entrySet()) {
      InstanceId instance = new InstanceId(pin.getKey());
      PoolId target = new PoolId(pin.getValue().getPool());
      agreed
          .instance(instance)
          .filter(image -> !image.hasStop() && !image.getPool().equals(target.value()))
          .ifPresent(image -> requestMove(instance, new PoolId(image.getPool()), target));
    }
  }

  private Map<PoolId, PoolSection> poolsOfKind(String kind) {
    Map<PoolId, PoolSection> pools = new HashMap<>();
    agreed
        .description()
        .getPoolsMap()
        .forEach(
            (name, section) -> {
              if (section.getKind().equals(kind)) {
                pools.put(new PoolId(name), section);
              }
            });
    return pools;
  }

  private void retireSurplus(Map<PoolId, PoolSection> pools) {
    int surplus = 0;
    for (Map.Entry<PoolId, PoolSection> pool : pools.entrySet()) {
      surplus += countNotRetiring(pool.getKey()) - pool.getValue().getSize();
    }
    for (Map.Entry<PoolId, PoolSection> pool : pools.entrySet()) {
      if (surplus <= 0) {
        return;
      }
      surplus -= retire(pool.getKey(), pool.getValue(), surplus);
    }
  }

  /**
   * Returns the number of instances that are neither being retired nor requested to stop; an
   * instance whose move was granted counts.
   */
  private int countNotRetiring(PoolId pool) {
    int count = 0;
    for (InstanceImage image : agreed.instances(pool)) {
      boolean isRetiring =
          image.hasStop() && image.getStop().getPurpose() == StopPurpose.STOP_FOR_RETIREMENT;
      boolean isRequested =
          requester.isRequesting(new InstanceId(image.getObserved().getInstance()));
      if (!isRetiring && !isRequested) {
        count++;
      }
    }
    return count;
  }

  /**
   * Requests retirements in a pool and returns how many of the surplus instances it retires in
   * total, now or as soon as its stop limits allow.
   */
  private int retire(PoolId pool, PoolSection section, int surplus) {
    int notRetiring = countNotRetiring(pool);
    int poolSurplus = Math.min(surplus, notRetiring - section.getSize());
    if (poolSurplus <= 0) {
      return 0;
    }
    List<PoolInstance> candidates = instancesWithoutRequest(pool);
    int stopped = 0;
    for (PoolInstance instance : candidates) {
      if (instance.condition() == InstanceCondition.STOPPED) {
        stopped++;
      }
    }
    int size = candidates.size() - stopped - poolSurplus;
    for (InstanceId instance :
        shrinkPlanner.nextRetirements(poolReader.stopLimits(pool), candidates, size)) {
      requester.request(
          InstanceStopRequested.newBuilder()
              .setInstance(instance.value())
              .setPool(pool.value())
              .setPurpose(StopPurpose.STOP_FOR_RETIREMENT));
    }
    return poolSurplus;
  }

  private List<PoolInstance> instancesWithoutRequest(PoolId pool) {
    List<PoolInstance> instances = new ArrayList<>();
    for (PoolInstance instance : poolReader.instances(pool)) {
      if (!requester.isRequesting(instance.instance())) {
        instances.add(instance);
      }
    }
    return instances;
  }

  private void moveByDemand(String kind, Map<PoolId, PoolSection> pools, long nowMilliseconds) {
    String spare = agreed.description().getFleet().getSparePool();
    if (spare.isEmpty()) {
      return;
    }
    List<PoolDemand> demands = new ArrayList<>();
    List<PoolInstance> instances = new ArrayList<>();
    pools.forEach(
        (pool, section) -> {
          double needed =
              kind.equals(WORKER_KIND) ? demand.workersNeeded(pool) : demand.runnersNeeded(pool);
          demands.add(
              new PoolDemand(pool, section.getSize(), section.getMinimumAvailable(), needed));
          instances.addAll(movableInstances(pool));
        });
    MoveInput input = new MoveInput(demands, instances, new PoolId(spare));
    for (InstanceMove move : movePlanners.get(kind).nextMoves(input, nowMilliseconds)) {
      requestMove(move.instance(), move.from(), move.to());
    }
  }

  /** Returns the instances of the pool that may be moved by demand; pinned instances may not. */
  private List<PoolInstance> movableInstances(PoolId pool) {
    List<PoolInstance> instances = new ArrayList<>();
    for (PoolInstance instance : instancesWithoutRequest(pool)) {
      boolean isPinned = agreed.description().containsInstances(instance.instance().value());
      if (!isPinned) {
        instances.add(instance);
      }
    }
    return instances;
  }

  private void requestMove(InstanceId instance, PoolId from, PoolId to) {
    requester.request(
        InstanceStopRequested.newBuilder()
            .setInstance(instance.value())
            .setPool(from.value())
            .setPurpose(StopPurpose.STOP_FOR_MOVE)
            .setTargetPool(to.value()));
  }
}
