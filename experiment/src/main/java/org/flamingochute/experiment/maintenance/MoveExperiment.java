package org.flamingochute.experiment.maintenance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.RackId;
import org.flamingochute.decision.maintenance.ImmediateMovePlanner;
import org.flamingochute.decision.maintenance.InstanceCondition;
import org.flamingochute.decision.maintenance.InstanceMove;
import org.flamingochute.decision.maintenance.MoveInput;
import org.flamingochute.decision.maintenance.MovePlanner;
import org.flamingochute.decision.maintenance.MoveSettings;
import org.flamingochute.decision.maintenance.PoolDemand;
import org.flamingochute.decision.maintenance.PoolInstance;
import org.flamingochute.decision.maintenance.SteadyMovePlanner;
import org.flamingochute.experiment.Experiment;
import org.flamingochute.experiment.Measurement;
import org.flamingochute.experiment.model.Company;
import org.flamingochute.experiment.model.RandomSampler;

/**
 * Measures the moves between pools and the idle capacity over four hours.
 *
 * <p>Five services have bursts in turn: the demand of each is five times its mean for 3 s and a
 * twentieth of its mean in between. In the shifting case the mean of one service, chosen by seed,
 * doubles for the second and third hour. A move takes 45 s, during which the instance is
 * unavailable. The bound on the moves is zero without a shift; with a shift, each instance that the
 * service lacks for the doubled mean moves there and back once. A planner that leaves the shift
 * uncovered can make fewer moves.
 */
public final class MoveExperiment implements Experiment {

  private static final int DURATION_SECONDS = 14_400;
  private static final long MILLISECONDS_PER_SECOND = 1_000;
  private static final int BURST_SECONDS = 3;
  private static final int CYCLE_SECONDS = 16;
  private static final double BURST_FACTOR = 5;
  private static final double IDLE_FACTOR = 0.05;

  /** Mean demand of a service, as a ratio to its size. */
  private static final double MEAN_LOAD_RATIO = 0.55;

  private static final int MOVE_SECONDS = 45;
  private static final PoolId SPARE_POOL = new PoolId("spare");

  @Override
  public String name() {
    return "moves";
  }

  @Override
  public String description() {
    return "Instance moves and idle capacity over four hours of services with bursts in turn.";
  }

  @Override
  public List<Measurement> run(long seed) {
    List<Measurement> measurements = new ArrayList<>();
    for (Company company : Company.all()) {
      for (boolean isShifting : new boolean[] {false, true}) {
        String subject = company.name() + (isShifting ? " shifting" : " turns");
        RandomSampler sampler = new RandomSampler(seed);
        int shiftedService = isShifting ? sampler.nextInt(company.runnersPerService().size()) : -1;
        MovePlanner noMovesPlanner = (input, now) -> List.of();
        measurements.addAll(
            new MoveSimulation(company, shiftedService, seed)
                .run(subject, "no moves", noMovesPlanner));
        measurements.addAll(
            new MoveSimulation(company, shiftedService, seed)
                .run(subject, "immediate", new ImmediateMovePlanner()));
        MovePlanner steadyPlanner = new SteadyMovePlanner(MoveSettings.defaults());
        measurements.addAll(
            new MoveSimulation(company, shiftedService, seed)
                .run(subject, "steady", steadyPlanner));
        double lowerBound =
            isShifting ? 2 * missingInstances(company.runnersPerService().get(shiftedService)) : 0;
        measurements.add(new Measurement(subject, "bound", "moves", "moves", lowerBound));
      }
    }
    return measurements;
  }

  private static double missingInstances(int size) {
    return Math.ceil(Math.max(0, size * MEAN_LOAD_RATIO * 2 - size));
  }

  /** A simulation of four hours. */
  private static final class MoveSimulation {

    private final Map<InstanceId, PoolInstance> instances = new LinkedHashMap<>();
    private final Map<InstanceId, Integer> moveEndSeconds = new HashMap<>();
    private final Map<InstanceId, PoolId> targetPools = new HashMap<>();
    private final Map<PoolId, Integer> poolSizes = new LinkedHashMap<>();
    private final int shiftedService;
    private final RandomSampler sampler;
    private double idleInstanceSeconds;
    private double missingInstanceSeconds;
    private double demandInstanceSeconds;
    private int moveCount;

    private MoveSimulation(Company company, int shiftedService, long seed) {
      this.shiftedService = shiftedService;
      this.sampler = new RandomSampler(seed);
      int serviceNumber = 0;
      for (int size : company.runnersPerService()) {
        addPool(new PoolId("service-" + serviceNumber++), size);
      }
      addPool(SPARE_POOL, company.sparePoolSize());
    }

    private void addPool(PoolId pool, int size) {
      poolSizes.put(pool, size);
      for (int i = 0; i < size; i++) {
        InstanceId id = new InstanceId(pool + "-" + i);
        instances.put(id, createInstance(id, pool, i, InstanceCondition.AVAILABLE));
      }
    }

    private static PoolInstance createInstance(
        InstanceId id, PoolId pool, int number, InstanceCondition condition) {
      int rack = number / Company.INSTANCES_PER_RACK;
      return new PoolInstance(
          id, pool, new DataCentreId("dc-" + rack % 3), new RackId("rack-" + rack), condition, 0);
    }

    private List<Measurement> run(String subject, String policy, MovePlanner planner) {
      for (int second = 0; second < DURATION_SECONDS; second++) {
        finishMoves(second);
        List<PoolDemand> demands = sampleDemands(second);
        recordCapacity(demands);
        MoveInput input = new MoveInput(demands, new ArrayList<>(instances.values()), SPARE_POOL);
        for (InstanceMove move : planner.nextMoves(input, second * MILLISECONDS_PER_SECOND)) {
          startMove(move, second);
        }
      }
      double metDemandRatio = 1 - missingInstanceSeconds / demandInstanceSeconds;
      double meanIdleInstances = idleInstanceSeconds / DURATION_SECONDS;
      return List.of(
          new Measurement(subject, policy, "moves", "moves", moveCount),
          new Measurement(subject, policy, "buffer (idle)", "instances", meanIdleInstances),
          new Measurement(subject, policy, "demand met", "", metDemandRatio));
    }

    private List<PoolDemand> sampleDemands(int second) {
      List<PoolDemand> demands = new ArrayList<>();
      int serviceNumber = 0;
      for (Map.Entry<PoolId, Integer> entry : poolSizes.entrySet()) {
        int size = entry.getValue();
        if (entry.getKey().equals(SPARE_POOL)) {
          demands.add(new PoolDemand(SPARE_POOL, size, 0, 0));
          continue;
        }
        boolean isBurst = second % CYCLE_SECONDS / BURST_SECONDS == serviceNumber;
        boolean isDoubled =
            serviceNumber == shiftedService
                && second > DURATION_SECONDS / 4
                && second < DURATION_SECONDS * 3 / 4;
        double meanInstances = size * MEAN_LOAD_RATIO * (isDoubled ? 2 : 1);
        double neededInstances =
            meanInstances * (isBurst ? BURST_FACTOR : IDLE_FACTOR) * sampler.nextLogNormal(1, 0.1);
        demands.add(new PoolDemand(entry.getKey(), size, size / 2, neededInstances));
        serviceNumber++;
      }
      return demands;
    }

    private void recordCapacity(List<PoolDemand> demands) {
      Map<PoolId, Integer> availableByPool = new HashMap<>();
      for (PoolInstance instance : instances.values()) {
        availableByPool.merge(instance.pool(), instance.isAvailable() ? 1 : 0, Integer::sum);
      }
      for (PoolDemand demand : demands) {
        int available = availableByPool.getOrDefault(demand.pool(), 0);
        demandInstanceSeconds += demand.instancesNeeded();
        missingInstanceSeconds += Math.max(0, demand.instancesNeeded() - available);
        idleInstanceSeconds -= Math.min(available, demand.instancesNeeded());
      }
      idleInstanceSeconds += instances.size();
    }

    private void startMove(InstanceMove move, int second) {
      moveCount++;
      PoolInstance instance = instances.get(move.instance());
      instances.put(
          move.instance(),
          withPoolAndCondition(instance, instance.pool(), InstanceCondition.STOPPED));
      moveEndSeconds.put(move.instance(), second + MOVE_SECONDS);
      targetPools.put(move.instance(), move.to());
    }

    private void finishMoves(int second) {
      moveEndSeconds
          .entrySet()
          .removeIf(
              entry -> {
                if (entry.getValue() > second) {
                  return false;
                }
                InstanceId id = entry.getKey();
                PoolInstance moved =
                    withPoolAndCondition(
                        instances.get(id), targetPools.get(id), InstanceCondition.AVAILABLE);
                instances.put(id, moved);
                return true;
              });
    }

    private static PoolInstance withPoolAndCondition(
        PoolInstance instance, PoolId pool, InstanceCondition condition) {
      return new PoolInstance(
          instance.instance(), pool, instance.dataCentre(), instance.rack(), condition, 0);
    }
  }
}
