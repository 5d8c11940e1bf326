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
import org.flamingochute.experiment.model.Draws;

/**
 * Moves between pools over four hours, and the capacity that stays idle.
 *
 * <p>Five services take turns: each asks five times its mean for 3 s, and a twentieth in between.
 * In the shifting case the mean of one service, drawn by seed, doubles for the second and third
 * hour. A move takes 45 s, during which the instance serves no one. The bound of the moves is none
 * without a shift; with it the instances that the mean lacks go there and back once each.
 */
public final class MoveExperiment implements Experiment {

  private static final int STEPS = 14_400;
  private static final long STEP_MILLISECONDS = 1_000;
  private static final int TURN_SECONDS = 3;
  private static final int CYCLE_SECONDS = 16;
  private static final double BURST = 5;
  private static final double QUIET = 0.05;
  private static final double MEAN_LOAD = 0.55;
  private static final int MOVE_SECONDS = 45;
  private static final PoolId SPARE = new PoolId("spare");

  @Override
  public String name() {
    return "moves";
  }

  @Override
  public String description() {
    return "Instance moves and idle capacity over four hours of services that take turns.";
  }

  @Override
  public List<Measurement> run(long seed) {
    List<Measurement> measurements = new ArrayList<>();
    for (Company company : Company.all()) {
      for (boolean shifting : new boolean[] {false, true}) {
        String subject = company.name() + (shifting ? " shifting" : " turns");
        Draws draws = new Draws(seed);
        int shifted = shifting ? draws.below(company.runnersPerService().size()) : -1;
        MovePlanner none = (input, now) -> List.of();
        measurements.addAll(new Run(company, shifted, seed).run(subject, "no moves", none));
        measurements.addAll(
            new Run(company, shifted, seed).run(subject, "immediate", new ImmediateMovePlanner()));
        MovePlanner steady = new SteadyMovePlanner(MoveSettings.defaults());
        measurements.addAll(new Run(company, shifted, seed).run(subject, "steady", steady));
        double bound = shifting ? 2 * lack(company.runnersPerService().get(shifted)) : 0;
        measurements.add(new Measurement(subject, "bound", "moves", "moves", bound));
      }
    }
    return measurements;
  }

  private static double lack(int size) {
    return Math.ceil(Math.max(0, size * MEAN_LOAD * 2 - size));
  }

  /** One run of four hours. */
  private static final class Run {

    private final Map<InstanceId, PoolInstance> instances = new LinkedHashMap<>();
    private final Map<InstanceId, Integer> returnsAt = new HashMap<>();
    private final Map<InstanceId, PoolId> targets = new HashMap<>();
    private final Map<PoolId, Integer> sizes = new LinkedHashMap<>();
    private final int shifted;
    private final Draws draws;
    private double idleInstanceSeconds;
    private double lackingInstanceSeconds;
    private double demandInstanceSeconds;
    private int moves;

    private Run(Company company, int shifted, long seed) {
      this.shifted = shifted;
      this.draws = new Draws(seed);
      int number = 0;
      for (int size : company.runnersPerService()) {
        addPool(new PoolId("service-" + number++), size);
      }
      addPool(SPARE, company.sparePool());
    }

    private void addPool(PoolId pool, int size) {
      sizes.put(pool, size);
      for (int i = 0; i < size; i++) {
        InstanceId id = new InstanceId(pool + "-" + i);
        instances.put(id, instance(id, pool, i, InstanceCondition.AVAILABLE));
      }
    }

    private static PoolInstance instance(
        InstanceId id, PoolId pool, int number, InstanceCondition condition) {
      int rack = number / Company.RACK_SIZE;
      return new PoolInstance(
          id, pool, new DataCentreId("dc-" + rack % 3), new RackId("rack-" + rack), condition, 0);
    }

    private List<Measurement> run(String subject, String policy, MovePlanner planner) {
      for (int second = 0; second < STEPS; second++) {
        finishMoves(second);
        List<PoolDemand> demands = demands(second);
        account(demands);
        MoveInput input = new MoveInput(demands, new ArrayList<>(instances.values()), SPARE);
        for (InstanceMove move : planner.nextMoves(input, second * STEP_MILLISECONDS)) {
          begin(move, second);
        }
      }
      double served = 1 - lackingInstanceSeconds / demandInstanceSeconds;
      double idle = idleInstanceSeconds / STEPS;
      return List.of(
          new Measurement(subject, policy, "moves", "moves", moves),
          new Measurement(subject, policy, "buffer (idle)", "instances", idle),
          new Measurement(subject, policy, "demand met", "", served));
    }

    private List<PoolDemand> demands(int second) {
      List<PoolDemand> demands = new ArrayList<>();
      int number = 0;
      for (Map.Entry<PoolId, Integer> entry : sizes.entrySet()) {
        int size = entry.getValue();
        if (entry.getKey().equals(SPARE)) {
          demands.add(new PoolDemand(SPARE, size, 0, 0));
          continue;
        }
        boolean burst = second % CYCLE_SECONDS / TURN_SECONDS == number;
        boolean doubled = number == shifted && second > STEPS / 4 && second < STEPS * 3 / 4;
        double mean = size * MEAN_LOAD * (doubled ? 2 : 1);
        double needed = mean * (burst ? BURST : QUIET) * draws.logNormal(1, 0.1);
        demands.add(new PoolDemand(entry.getKey(), size, size / 2, needed));
        number++;
      }
      return demands;
    }

    private void account(List<PoolDemand> demands) {
      Map<PoolId, Integer> held = new HashMap<>();
      for (PoolInstance instance : instances.values()) {
        held.merge(instance.pool(), instance.isAvailable() ? 1 : 0, Integer::sum);
      }
      for (PoolDemand demand : demands) {
        int available = held.getOrDefault(demand.pool(), 0);
        demandInstanceSeconds += demand.instancesNeeded();
        lackingInstanceSeconds += Math.max(0, demand.instancesNeeded() - available);
        idleInstanceSeconds -= Math.min(available, demand.instancesNeeded());
      }
      idleInstanceSeconds += instances.size();
    }

    private void begin(InstanceMove move, int second) {
      moves++;
      PoolInstance instance = instances.get(move.instance());
      instances.put(move.instance(), copy(instance, instance.pool(), InstanceCondition.STOPPED));
      returnsAt.put(move.instance(), second + MOVE_SECONDS);
      targets.put(move.instance(), move.to());
    }

    private void finishMoves(int second) {
      returnsAt
          .entrySet()
          .removeIf(
              entry -> {
                if (entry.getValue() > second) {
                  return false;
                }
                InstanceId id = entry.getKey();
                PoolInstance moved =
                    copy(instances.get(id), targets.get(id), InstanceCondition.AVAILABLE);
                instances.put(id, moved);
                return true;
              });
    }

    private static PoolInstance copy(
        PoolInstance instance, PoolId pool, InstanceCondition condition) {
      return new PoolInstance(
          instance.instance(), pool, instance.dataCentre(), instance.rack(), condition, 0);
    }
  }
}
