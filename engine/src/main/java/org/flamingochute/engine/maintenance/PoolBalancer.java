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
 * Brings the pools to their sizes: pinned instances go to their pools, instances that the fleet
 * holds beyond the sum of its sizes are retired, and others move by demand.
 *
 * <p>A pool above its size gives instances up only as far as the pools of its kind together are
 * above theirs; what lies below that was borrowed and goes back by a move. Example: pool a holds 7
 * of 6 and the spare pool 5 of 6: nothing is retired. When the size of a falls to 4, two of the
 * three are retired.
 */
final class PoolBalancer {

  private static final String WORKER_KIND = "worker";
  private static final List<String> KINDS = List.of("runner", WORKER_KIND);

  private final AgreedView agreed;
  private final PoolSnapshot pools;
  private final StopRequester requester;
  private final DemandEstimator demand;
  private final ShrinkPlanner shrinkPlanner = new ShrinkPlanner();
  private final Map<String, MovePlanner> movePlanners = new HashMap<>();

  PoolBalancer(
      AgreedView agreed, PoolSnapshot pools, StopRequester requester, DemandEstimator demand) {
    this.agreed = agreed;
    this.pools = pools;
    this.requester = requester;
    this.demand = demand;
    for (String kind : KINDS) {
      movePlanners.put(kind, new SteadyMovePlanner(MoveSettings.defaults()));
    }
  }

  /** Asks for the stops that are needed now. */
  void run(long nowMilliseconds) {
    placePinned();
    for (String kind : KINDS) {
      Map<PoolId, PoolSection> ofKind = ofKind(kind);
      retireSurplus(ofKind);
      moveByDemand(kind, ofKind, nowMilliseconds);
    }
  }

  private void placePinned() {
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

  private Map<PoolId, PoolSection> ofKind(String kind) {
    Map<PoolId, PoolSection> found = new HashMap<>();
    agreed
        .description()
        .getPoolsMap()
        .forEach(
            (name, section) -> {
              if (section.getKind().equals(kind)) {
                found.put(new PoolId(name), section);
              }
            });
    return found;
  }

  private void retireSurplus(Map<PoolId, PoolSection> ofKind) {
    int surplus = 0;
    for (Map.Entry<PoolId, PoolSection> pool : ofKind.entrySet()) {
      surplus += staying(pool.getKey()) - pool.getValue().getSize();
    }
    for (Map.Entry<PoolId, PoolSection> pool : ofKind.entrySet()) {
      if (surplus <= 0) {
        return;
      }
      surplus -= retire(pool.getKey(), pool.getValue(), surplus);
    }
  }

  /** Instances that are not being retired; one on its way to another pool still counts. */
  private int staying(PoolId pool) {
    int count = 0;
    for (InstanceImage image : agreed.instances(pool)) {
      boolean retiring =
          image.hasStop() && image.getStop().getPurpose() == StopPurpose.STOP_FOR_RETIREMENT;
      boolean requested = requester.isRequesting(new InstanceId(image.getObserved().getInstance()));
      if (!retiring && !requested) {
        count++;
      }
    }
    return count;
  }

  /** Returns how many of the surplus instances the pool gives up, now or as its guards allow. */
  private int retire(PoolId pool, PoolSection section, int surplus) {
    int staying = staying(pool);
    int own = Math.min(surplus, staying - section.getSize());
    if (own <= 0) {
      return 0;
    }
    List<PoolInstance> candidates = notRequested(pool);
    int stopped = 0;
    for (PoolInstance instance : candidates) {
      if (instance.condition() == InstanceCondition.STOPPED) {
        stopped++;
      }
    }
    int size = candidates.size() - stopped - own;
    for (InstanceId instance : shrinkPlanner.nextRetirements(pools.guard(pool), candidates, size)) {
      requester.request(
          InstanceStopRequested.newBuilder()
              .setInstance(instance.value())
              .setPool(pool.value())
              .setPurpose(StopPurpose.STOP_FOR_RETIREMENT));
    }
    return own;
  }

  private List<PoolInstance> notRequested(PoolId pool) {
    List<PoolInstance> instances = new ArrayList<>();
    for (PoolInstance instance : pools.instances(pool)) {
      if (!requester.isRequesting(instance.instance())) {
        instances.add(instance);
      }
    }
    return instances;
  }

  private void moveByDemand(String kind, Map<PoolId, PoolSection> ofKind, long nowMilliseconds) {
    String spare = agreed.description().getFleet().getSparePool();
    if (spare.isEmpty()) {
      return;
    }
    List<PoolDemand> demands = new ArrayList<>();
    List<PoolInstance> instances = new ArrayList<>();
    ofKind.forEach(
        (pool, section) -> {
          double needed =
              kind.equals(WORKER_KIND) ? demand.workersNeeded(pool) : demand.runnersNeeded(pool);
          demands.add(
              new PoolDemand(pool, section.getSize(), section.getMinimumAvailable(), needed));
          instances.addAll(movable(pool));
        });
    MoveInput input = new MoveInput(demands, instances, new PoolId(spare));
    for (InstanceMove move : movePlanners.get(kind).nextMoves(input, nowMilliseconds)) {
      requestMove(move.instance(), move.from(), move.to());
    }
  }

  /** Pinned instances stay where they are pinned. */
  private List<PoolInstance> movable(PoolId pool) {
    List<PoolInstance> instances = new ArrayList<>();
    for (PoolInstance instance : notRequested(pool)) {
      boolean pinned = agreed.description().containsInstances(instance.instance().value());
      if (!pinned) {
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
