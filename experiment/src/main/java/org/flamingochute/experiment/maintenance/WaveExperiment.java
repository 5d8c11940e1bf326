package org.flamingochute.experiment.maintenance;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.maintenance.DomainWavePlanner;
import org.flamingochute.decision.maintenance.InstanceCondition;
import org.flamingochute.decision.maintenance.PoolGuard;
import org.flamingochute.decision.maintenance.SequentialWavePlanner;
import org.flamingochute.decision.maintenance.WavePlanner;
import org.flamingochute.decision.maintenance.WaveState;
import org.flamingochute.experiment.Experiment;
import org.flamingochute.experiment.Measurement;
import org.flamingochute.experiment.model.Company;
import org.flamingochute.experiment.model.Draws;
import org.flamingochute.experiment.model.EventQueue;

/**
 * How long a maintenance wave over all pools of a company takes.
 *
 * <p>Draining takes 2 to 12 s and a reboot 60 to 75 s. The bound is the fewest steps of the slowest
 * pool, each as long as the shortest stop.
 */
public final class WaveExperiment implements Experiment {

  private static final double DRAIN_MILLISECONDS = 2_000;
  private static final double DRAIN_SPREAD_MILLISECONDS = 10_000;
  private static final double REBOOT_MILLISECONDS = 60_000;
  private static final double REBOOT_SPREAD_MILLISECONDS = 15_000;
  private static final double PLAN_MILLISECONDS = 500;
  private static final double END_MILLISECONDS = 20_000_000;

  @Override
  public String name() {
    return "waves";
  }

  @Override
  public String description() {
    return "Time in which every instance of all pools is rebooted once, within the guards.";
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
    SimulatedFleet fleet = fleet(company);
    double bound = bound(fleet);
    Draws draws = new Draws(seed);
    EventQueue events = new EventQueue();
    Set<InstanceId> finished = new HashSet<>();
    double[] ended = {0};
    int total = fleet.instances().size();
    events.every(
        PLAN_MILLISECONDS,
        () -> {
          WaveState state = new WaveState(fleet.guards(), fleet.instances(), finished, false);
          for (InstanceId id : planner.nextStops(state)) {
            fleet.setCondition(id, InstanceCondition.STOPPED);
            events.after(
                stopMilliseconds(draws),
                () -> {
                  fleet.setCondition(id, InstanceCondition.AVAILABLE);
                  finished.add(id);
                  ended[0] = finished.size() == total ? events.now() : ended[0];
                });
          }
        });
    events.runUntil(END_MILLISECONDS);
    String subject = company.name();
    return List.of(
        new Measurement(subject, policy, "roll-out time", "s", ended[0] / 1000),
        new Measurement(subject, policy, "roll-out of bound", "", ended[0] / bound),
        new Measurement(subject, policy, "guard violations", "", fleet.violations()));
  }

  private static double stopMilliseconds(Draws draws) {
    double drain = DRAIN_MILLISECONDS + draws.random().nextDouble() * DRAIN_SPREAD_MILLISECONDS;
    double reboot = REBOOT_MILLISECONDS + draws.random().nextDouble() * REBOOT_SPREAD_MILLISECONDS;
    return drain + reboot;
  }

  private static double bound(SimulatedFleet fleet) {
    int steps = 0;
    for (PoolGuard guard : fleet.guards()) {
      steps = Math.max(steps, StepBound.steps(guard, fleet.instances(guard.pool())));
    }
    return steps * (DRAIN_MILLISECONDS + REBOOT_MILLISECONDS);
  }

  private static SimulatedFleet fleet(Company company) {
    SimulatedFleet fleet = new SimulatedFleet();
    int number = 0;
    for (int size : company.runnersPerService()) {
      fleet.addPool("service-" + number++, size, size - 2, 1);
    }
    for (int size : company.workersPerPool()) {
      fleet.addPool("workers-" + number++, size, size - 3, 1);
    }
    fleet.addPool("spare", company.sparePool(), 2, 2);
    return fleet;
  }
}
