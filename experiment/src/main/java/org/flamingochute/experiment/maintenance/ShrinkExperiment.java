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
import org.flamingochute.decision.maintenance.PoolInstance;
import org.flamingochute.decision.maintenance.PoolStopLimits;
import org.flamingochute.decision.maintenance.ShrinkPlanner;
import org.flamingochute.experiment.Experiment;
import org.flamingochute.experiment.Measurement;
import org.flamingochute.experiment.model.Company;
import org.flamingochute.experiment.model.EventQueue;
import org.flamingochute.experiment.model.RandomSampler;

/**
 * Measures the time to shrink all pools to half their size, rounded up, where each instance
 * finishes its requests before it stops.
 *
 * <p>The availability budget of each pool is its size after the shrink, and instances are stopped
 * in one rack at a time. The bound assumes the same set of removed instances: those of one rack
 * stop concurrently, and the racks follow one another without a gap.
 *
 * <p>The time is also compared with a bound for any set of removed instances. The set that comes
 * closest to it empties one rack and keeps the other whole, so that the loss of the remaining rack
 * would take down the whole pool.
 */
public final class ShrinkExperiment implements Experiment {

  private static final double MAXIMUM_REQUEST_MILLISECONDS = 30_000;
  private static final double MEAN_REQUEST_MILLISECONDS = 2_000;
  private static final double NOTICE_MILLISECONDS = 2_000;
  private static final double RETIRE_MILLISECONDS = 5_000;
  private static final double PLANNING_INTERVAL_MILLISECONDS = 500;
  private static final double DURATION_MILLISECONDS = 5_000_000;

  @Override
  public String name() {
    return "shrink";
  }

  @Override
  public String description() {
    return "Time to remove half of the instances of every pool, within the guards.";
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
      Company company, String policy, boolean isSequential, long seed) {
    SimulatedFleet fleet = new SimulatedFleet();
    List<Integer> sizes = new ArrayList<>(company.runnersPerService());
    sizes.addAll(company.workersPerPool());
    for (int i = 0; i < sizes.size(); i++) {
      fleet.addPool("pool-" + i, sizes.get(i), targetSize(sizes.get(i)), 1);
    }
    Map<InstanceId, Double> stopMilliseconds = sampleStopMilliseconds(fleet, seed);
    final double fastestMilliseconds = fastestMilliseconds(fleet, stopMilliseconds);
    Map<InstanceId, PoolInstance> initialInstances = new HashMap<>();
    fleet.instances().forEach(instance -> initialInstances.put(instance.instance(), instance));
    EventQueue events = new EventQueue();
    Set<InstanceId> stoppingInstances = new HashSet<>();
    double[] endMilliseconds = {0};
    events.schedulePeriodically(
        PLANNING_INTERVAL_MILLISECONDS,
        () -> {
          for (PoolStopLimits limits : fleet.limits()) {
            if (isSequential && !stoppingInstances.isEmpty()) {
              return;
            }
            int targetSize = limits.minimumAvailable();
            List<InstanceId> nextRetirements =
                new ShrinkPlanner()
                    .nextRetirements(limits, fleet.instances(limits.pool()), targetSize);
            for (InstanceId id :
                isSequential && !nextRetirements.isEmpty()
                    ? nextRetirements.subList(0, 1)
                    : nextRetirements) {
              stoppingInstances.add(id);
              fleet.setCondition(id, InstanceCondition.STOPPED);
              events.schedule(
                  stopMilliseconds.get(id),
                  () -> {
                    stoppingInstances.remove(id);
                    fleet.remove(id);
                    endMilliseconds[0] = events.nowMilliseconds();
                  });
            }
          }
        });
    events.runUntil(DURATION_MILLISECONDS);
    fleet.instances().forEach(instance -> initialInstances.remove(instance.instance()));
    double lowerBoundMilliseconds =
        lowerBoundMilliseconds(initialInstances.values(), stopMilliseconds);
    String subject = company.name();
    return List.of(
        new Measurement(subject, policy, "shrink time", "s", endMilliseconds[0] / 1000),
        new Measurement(
            subject, policy, "shrink of bound", "", endMilliseconds[0] / lowerBoundMilliseconds),
        new Measurement(
            subject, policy, "shrink of quickest", "", endMilliseconds[0] / fastestMilliseconds),
        new Measurement(subject, policy, "guard violations", "", fleet.violations()),
        new Measurement(subject, policy, "surplus left", "instances", countSurplusInstances(fleet)),
        new Measurement(subject, policy, "widest data centre", "", largestDataCentreRatio(fleet)));
  }

  private static int targetSize(int size) {
    return (size + 1) / 2;
  }

  private static Map<InstanceId, Double> sampleStopMilliseconds(SimulatedFleet fleet, long seed) {
    RandomSampler sampler = new RandomSampler(seed);
    Map<InstanceId, Double> stopMilliseconds = new HashMap<>();
    for (PoolInstance instance : fleet.instances()) {
      double longestRequestMilliseconds = 0;
      for (int slot = 0; slot < Company.SLOTS_PER_RUNNER; slot++) {
        longestRequestMilliseconds =
            Math.max(
                longestRequestMilliseconds, sampler.nextExponential(MEAN_REQUEST_MILLISECONDS));
      }
      double drainMilliseconds =
          NOTICE_MILLISECONDS + Math.min(longestRequestMilliseconds, MAXIMUM_REQUEST_MILLISECONDS);
      stopMilliseconds.put(instance.instance(), drainMilliseconds + RETIRE_MILLISECONDS);
    }
    return stopMilliseconds;
  }

  /** Returns the time needed if the racks of each pool follow one another without a gap. */
  private static double lowerBoundMilliseconds(
      Collection<PoolInstance> removedInstances, Map<InstanceId, Double> stopMilliseconds) {
    Map<PoolId, Map<FailureDomain, Double>> longestByDomain = new HashMap<>();
    for (PoolInstance instance : removedInstances) {
      longestByDomain
          .computeIfAbsent(instance.pool(), key -> new HashMap<>())
          .merge(instance.domain(), stopMilliseconds.get(instance.instance()), Math::max);
    }
    double lowerBoundMilliseconds = 0;
    for (Map<FailureDomain, Double> domains : longestByDomain.values()) {
      double sumMilliseconds = domains.values().stream().mapToDouble(Double::doubleValue).sum();
      lowerBoundMilliseconds = Math.max(lowerBoundMilliseconds, sumMilliseconds);
    }
    return lowerBoundMilliseconds;
  }

  /**
   * Returns the time to remove the instances of each pool that stop fastest, as if they filled as
   * few racks as possible.
   */
  private static double fastestMilliseconds(
      SimulatedFleet fleet, Map<InstanceId, Double> stopMilliseconds) {
    double longestMilliseconds = 0;
    for (PoolStopLimits limits : fleet.limits()) {
      longestMilliseconds =
          Math.max(
              longestMilliseconds,
              fastestMilliseconds(fleet.instances(limits.pool()), limits, stopMilliseconds));
    }
    return longestMilliseconds;
  }

  private static double fastestMilliseconds(
      List<PoolInstance> pool, PoolStopLimits limits, Map<InstanceId, Double> stopMilliseconds) {
    List<Double> sortedMilliseconds = new ArrayList<>();
    pool.forEach(instance -> sortedMilliseconds.add(stopMilliseconds.get(instance.instance())));
    sortedMilliseconds.sort(null);
    int surplusCount = pool.size() - limits.minimumAvailable();
    int rackCount = (surplusCount + Company.INSTANCES_PER_RACK - 1) / Company.INSTANCES_PER_RACK;
    double sumMilliseconds = sortedMilliseconds.get(surplusCount - 1);
    for (int rack = 1; rack < rackCount; rack++) {
      sumMilliseconds += sortedMilliseconds.get(rack - 1);
    }
    return sumMilliseconds;
  }

  private static int countSurplusInstances(SimulatedFleet fleet) {
    int surplusCount = 0;
    for (PoolStopLimits limits : fleet.limits()) {
      surplusCount += fleet.instances(limits.pool()).size() - limits.minimumAvailable();
    }
    return surplusCount;
  }

  /** Returns the largest part of a pool's remaining instances that is in one data centre. */
  private static double largestDataCentreRatio(SimulatedFleet fleet) {
    double largestRatio = 0;
    for (PoolStopLimits limits : fleet.limits()) {
      List<PoolInstance> pool = fleet.instances(limits.pool());
      Map<DataCentreId, Integer> counts = new HashMap<>();
      pool.forEach(instance -> counts.merge(instance.dataCentre(), 1, Integer::sum));
      for (int count : counts.values()) {
        largestRatio = Math.max(largestRatio, (double) count / pool.size());
      }
    }
    return largestRatio;
  }
}
