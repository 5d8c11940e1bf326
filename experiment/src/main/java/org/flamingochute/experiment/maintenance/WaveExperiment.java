package org.flamingochute.experiment.maintenance;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.maintenance.DomainWavePlanner;
import org.flamingochute.decision.maintenance.InstanceCondition;
import org.flamingochute.decision.maintenance.PoolStopLimits;
import org.flamingochute.decision.maintenance.SequentialWavePlanner;
import org.flamingochute.decision.maintenance.WavePlanner;
import org.flamingochute.decision.maintenance.WaveState;
import org.flamingochute.experiment.Experiment;
import org.flamingochute.experiment.Measurement;
import org.flamingochute.experiment.model.Company;
import org.flamingochute.experiment.model.EventQueue;
import org.flamingochute.experiment.model.RandomSampler;

/**
 * Measures the duration of a maintenance wave over all pools of a company.
 *
 * <p>Draining takes 2 to 12 s and a reboot 60 to 75 s. The bound is the minimum number of steps of
 * the pool that needs most steps, times the duration of the shortest possible stop.
 */
public final class WaveExperiment implements Experiment {

  private static final double MINIMUM_DRAIN_MILLISECONDS = 2_000;
  private static final double DRAIN_RANGE_MILLISECONDS = 10_000;
  private static final double MINIMUM_REBOOT_MILLISECONDS = 60_000;
  private static final double REBOOT_RANGE_MILLISECONDS = 15_000;
  private static final double PLANNING_INTERVAL_MILLISECONDS = 500;
  private static final double DURATION_MILLISECONDS = 20_000_000;

  @Override
  public String name() {
    return "waves";
  }

  @Override
  public String description() {
    return "Time to reboot every instance of all pools once, within the guards.";
  }

  @Override
  public List<Measurement> run(long seed) {
    List<Measurement> measurements = new ArrayList<>();
    for (Company company : Company.all()) {
      measurements.addAll(run(company, "one-at-a-time", new SequentialWavePlanner(), seed));
      measurements.addAll(run(company, "by-domain", new DomainWavePlanner(), seed));
    }
    return measurements;
  }

  private static List<Measurement> run(
      Company company, String policy, WavePlanner planner, long seed) {
    SimulatedFleet fleet = createFleet(company);
    double lowerBoundMilliseconds = lowerBoundMilliseconds(fleet);
    RandomSampler sampler = new RandomSampler(seed);
    EventQueue events = new EventQueue();
    Set<InstanceId> finished = new HashSet<>();
    double[] endMilliseconds = {0};
    int instanceCount = fleet.instances().size();
    events.schedulePeriodically(
        PLANNING_INTERVAL_MILLISECONDS,
        () -> {
          WaveState state = new WaveState(fleet.limits(), fleet.instances(), finished, false);
          for (InstanceId id : planner.nextStops(state)) {
            fleet.setCondition(id, InstanceCondition.STOPPED);
            events.schedule(
                sampleStopMilliseconds(sampler),
                () -> {
                  fleet.setCondition(id, InstanceCondition.AVAILABLE);
                  finished.add(id);
                  endMilliseconds[0] =
                      finished.size() == instanceCount
                          ? events.nowMilliseconds()
                          : endMilliseconds[0];
                });
          }
        });
    events.runUntil(DURATION_MILLISECONDS);
    String subject = company.name();
    return List.of(
        new Measurement(subject, policy, "roll-out time", "s", endMilliseconds[0] / 1000),
        new Measurement(
            subject, policy, "roll-out of bound", "", endMilliseconds[0] / lowerBoundMilliseconds),
        new Measurement(subject, policy, "guard violations", "", fleet.violations()));
  }

  private static double sampleStopMilliseconds(RandomSampler sampler) {
    double drainMilliseconds =
        MINIMUM_DRAIN_MILLISECONDS + sampler.random().nextDouble() * DRAIN_RANGE_MILLISECONDS;
    double rebootMilliseconds =
        MINIMUM_REBOOT_MILLISECONDS + sampler.random().nextDouble() * REBOOT_RANGE_MILLISECONDS;
    return drainMilliseconds + rebootMilliseconds;
  }

  private static double lowerBoundMilliseconds(SimulatedFleet fleet) {
    int steps = 0;
    for (PoolStopLimits limits : fleet.limits()) {
      steps = Math.max(steps, StepBound.minimumSteps(limits, fleet.instances(limits.pool())));
    }
    return steps * (MINIMUM_DRAIN_MILLISECONDS + MINIMUM_REBOOT_MILLISECONDS);
  }

  private static SimulatedFleet createFleet(Company company) {
    SimulatedFleet fleet = new SimulatedFleet();
    int poolNumber = 0;
    for (int size : company.runnersPerService()) {
      fleet.addPool("service-" + poolNumber++, size, size - 2, 1);
    }
    for (int size : company.workersPerPool()) {
      fleet.addPool("workers-" + poolNumber++, size, size - 3, 1);
    }
    fleet.addPool("spare", company.sparePoolSize(), 2, 2);
    return fleet;
  }
}
