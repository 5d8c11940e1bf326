package org.flamingochute.experiment.placement;

import java.util.ArrayList;
import java.util.List;
import org.flamingochute.decision.placement.FairPlacement;
import org.flamingochute.decision.placement.FairPlacementSettings;
import org.flamingochute.decision.placement.FirstComeFirstServedPlacement;
import org.flamingochute.decision.placement.PlacementPolicy;
import org.flamingochute.experiment.Experiment;
import org.flamingochute.experiment.Measurement;
import org.flamingochute.experiment.model.Company;

/** Measures the utilisation, fairness and urgent job waits of an overloaded pool of workers. */
public final class PlacementExperiment implements Experiment {

  @Override
  public String name() {
    return "placement";
  }

  @Override
  public String description() {
    return "Jobs with inaccurate declared sizes on a full pool with a worker that fails all jobs.";
  }

  @Override
  public List<Measurement> run(long seed) {
    List<Measurement> measurements = new ArrayList<>();
    for (Company company : Company.all()) {
      measurements.addAll(
          measure(company, "first-come", new FirstComeFirstServedPlacement(), seed));
      measurements.addAll(
          measure(company, "fair-declared", fairPlacement(false, false, false), seed));
      measurements.addAll(
          measure(company, "fair-no-stops", fairPlacement(true, true, false), seed));
      measurements.addAll(measure(company, "fair", fairPlacement(true, true, true), seed));
    }
    return measurements;
  }

  private static PlacementPolicy fairPlacement(
      boolean correctsDeclaredSizes, boolean avoidsFailingWorkers, boolean preempts) {
    FairPlacementSettings defaults = FairPlacementSettings.defaults();
    return new FairPlacement(
        new FairPlacementSettings(
            defaults.failedWorkersForParking(),
            defaults.processorOvercommitPercent(),
            defaults.reserveAfterMilliseconds(),
            correctsDeclaredSizes,
            avoidsFailingWorkers,
            preempts));
  }

  private static List<Measurement> measure(
      Company company, String policy, PlacementPolicy placement, long seed) {
    PoolSimulation simulation = new PoolSimulation(company, placement, seed).run();
    String name = company.name();
    return List.of(
        new Measurement(name, policy, "processors used", "", simulation.utilisation()),
        new Measurement(name, policy, "buffer (idle)", "", 1 - simulation.utilisation()),
        new Measurement(name, policy, "least part of share", "", simulation.lowestRatioToShare()),
        new Measurement(
            name,
            policy,
            "longest urgent wait",
            "s",
            simulation.longestUrgentWaitMilliseconds / 1000),
        new Measurement(
            name,
            policy,
            "urgent within 4 s",
            "",
            (double) simulation.urgentStartedInTime / Math.max(1, simulation.urgentStarted)),
        new Measurement(name, policy, "jobs succeeded", "jobs", simulation.succeededJobs),
        new Measurement(name, policy, "failed attempts", "attempts", simulation.failedAttempts),
        new Measurement(name, policy, "memory failures", "attempts", simulation.memoryFailures),
        new Measurement(name, policy, "jobs stopped", "jobs", simulation.preemptedJobs));
  }
}
