package org.flamingochute.experiment.maintenance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.maintenance.FailureDomain;
import org.flamingochute.decision.maintenance.InstanceCondition;
import org.flamingochute.decision.maintenance.PoolGuard;
import org.flamingochute.decision.maintenance.PoolInstance;
import org.flamingochute.decision.maintenance.ShrinkPlanner;
import org.flamingochute.experiment.Experiment;
import org.flamingochute.experiment.Measurement;
import org.flamingochute.experiment.model.Company;
import org.flamingochute.experiment.model.Draws;
import org.flamingochute.experiment.model.EventQueue;

/**
 * How long the shrink of all pools to half takes, under requests that an instance finishes first.
 *
 * <p>The budget of each pool is half its size, so that it allows the end state; stops in one rack
 * at a time. The bound takes the instances that went as given: those of one rack go at once, the
 * racks one after another without a gap. The quickest end state would empty one rack and leave the
 * other whole, so that the loss of one rack took the whole pool; its time is shown for comparison.
 */
public final class ShrinkExperiment implements Experiment {

  private static final double LONGEST_REQUEST_MILLISECONDS = 30_000;
  private static final double MEAN_REQUEST_MILLISECONDS = 2_000;
  private static final double NOTICE_MILLISECONDS = 2_000;
  private static final double RETIRE_MILLISECONDS = 5_000;
  private static final double PLAN_MILLISECONDS = 500;
  private static final double END_MILLISECONDS = 5_000_000;

  @Override
  public String name() {
    return "shrink";
  }

  @Override
  public String description() {
    return "Time in which every pool gives up half of its instances, within the guards.";
  }

  @Override
  public List<Measurement> run(long seed) {
    List<Measurement> measurements = new ArrayList<>();
    for (Company company : Company.all()) {
      measurements.addAll(run(company, "one-at-a-time", true, seed));
      measurements.addAll(run(company, "planner", false, seed));
    }
    return measurements;
  }

  private static List<Measurement> run(
      Company company, String policy, boolean singleSteps, long seed) {
    SimulatedFleet fleet = new SimulatedFleet();
    List<Integer> sizes = new ArrayList<>(company.runnersPerService());
    sizes.addAll(company.workersPerPool());
    for (int i = 0; i < sizes.size(); i++) {
      fleet.addPool("pool-" + i, sizes.get(i), target(sizes.get(i)), 1);
    }
    Map<InstanceId, Double> stops = stopTimes(fleet, seed);
    final double quickest = quickest(fleet, stops);
    Map<InstanceId, PoolInstance> before = new HashMap<>();
    fleet.instances().forEach(instance -> before.put(instance.instance(), instance));
    EventQueue events = new EventQueue();
    Set<InstanceId> stopping = new HashSet<>();
    double[] ended = {0};
    events.every(
        PLAN_MILLISECONDS,
        () -> {
          for (PoolGuard guard : fleet.guards()) {
            if (singleSteps && !stopping.isEmpty()) {
              return;
            }
            int target = guard.minimumAvailable();
            List<InstanceId> next =
                new ShrinkPlanner().nextRetirements(guard, fleet.instances(guard.pool()), target);
            for (InstanceId id : singleSteps && !next.isEmpty() ? next.subList(0, 1) : next) {
              stopping.add(id);
              fleet.setCondition(id, InstanceCondition.STOPPED);
              events.after(
                  stops.get(id),
                  () -> {
                    stopping.remove(id);
                    fleet.remove(id);
                    ended[0] = events.now();
                  });
            }
          }
        });
    events.runUntil(END_MILLISECONDS);
    fleet.instances().forEach(instance -> before.remove(instance.instance()));
    double bound = bound(before.values(), stops);
    String subject = company.name();
    return List.of(
        new Measurement(subject, policy, "shrink time", "s", ended[0] / 1000),
        new Measurement(subject, policy, "shrink of bound", "", ended[0] / bound),
        new Measurement(subject, policy, "shrink of quickest", "", ended[0] / quickest),
        new Measurement(subject, policy, "guard violations", "", fleet.violations()),
        new Measurement(subject, policy, "surplus left", "instances", surplus(fleet)),
        new Measurement(subject, policy, "widest data centre", "", widestPart(fleet)));
  }

  private static int target(int size) {
    return (size + 1) / 2;
  }

  private static Map<InstanceId, Double> stopTimes(SimulatedFleet fleet, long seed) {
    Draws draws = new Draws(seed);
    Map<InstanceId, Double> stops = new HashMap<>();
    for (PoolInstance instance : fleet.instances()) {
      double longest = 0;
      for (int slot = 0; slot < Company.SLOTS; slot++) {
        longest = Math.max(longest, draws.exponential(MEAN_REQUEST_MILLISECONDS));
      }
      double drain = NOTICE_MILLISECONDS + Math.min(longest, LONGEST_REQUEST_MILLISECONDS);
      stops.put(instance.instance(), drain + RETIRE_MILLISECONDS);
    }
    return stops;
  }

  /** Returns the time when the racks of each pool follow each other without a gap. */
  private static double bound(Collection<PoolInstance> gone, Map<InstanceId, Double> stops) {
    Map<PoolId, Map<FailureDomain, Double>> longest = new HashMap<>();
    for (PoolInstance instance : gone) {
      longest
          .computeIfAbsent(instance.pool(), key -> new HashMap<>())
          .merge(instance.domain(), stops.get(instance.instance()), Math::max);
    }
    double bound = 0;
    for (Map<FailureDomain, Double> domains : longest.values()) {
      double sum = domains.values().stream().mapToDouble(Double::doubleValue).sum();
      bound = Math.max(bound, sum);
    }
    return bound;
  }

  /** Returns the time when each pool gives up its quickest instances, whatever is left. */
  private static double quickest(SimulatedFleet fleet, Map<InstanceId, Double> stops) {
    double longest = 0;
    for (PoolGuard guard : fleet.guards()) {
      longest = Math.max(longest, quickest(fleet.instances(guard.pool()), guard, stops));
    }
    return longest;
  }

  private static double quickest(
      List<PoolInstance> pool, PoolGuard guard, Map<InstanceId, Double> stops) {
    List<Double> times = new ArrayList<>();
    pool.forEach(instance -> times.add(stops.get(instance.instance())));
    times.sort(null);
    int surplus = pool.size() - guard.minimumAvailable();
    int racks = (surplus + Company.RACK_SIZE - 1) / Company.RACK_SIZE;
    double sum = times.get(surplus - 1);
    for (int rack = 1; rack < racks; rack++) {
      sum += times.get(rack - 1);
    }
    return sum;
  }

  private static int surplus(SimulatedFleet fleet) {
    int surplus = 0;
    for (PoolGuard guard : fleet.guards()) {
      surplus += fleet.instances(guard.pool()).size() - guard.minimumAvailable();
    }
    return surplus;
  }

  /** Returns the largest part of a pool that ends up in one data centre. */
  private static double widestPart(SimulatedFleet fleet) {
    double widest = 0;
    for (PoolGuard guard : fleet.guards()) {
      List<PoolInstance> pool = fleet.instances(guard.pool());
      Map<DataCentreId, Integer> counts = new HashMap<>();
      pool.forEach(instance -> counts.merge(instance.dataCentre(), 1, Integer::sum));
      for (int count : counts.values()) {
        widest = Math.max(widest, (double) count / pool.size());
      }
    }
    return widest;
  }
}
