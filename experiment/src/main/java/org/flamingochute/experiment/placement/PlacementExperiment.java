package org.flamingochute.experiment.placement;

import java.util.ArrayList;
import java.util.List;
import org.flamingochute.decision.placement.FairPlacement;
import org.flamingochute.decision.placement.FairPlacementSettings;
import org.flamingochute.decision.placement.FirstComePlacement;
import org.flamingochute.decision.placement.PlacementPolicy;
import org.flamingochute.experiment.Experiment;
import org.flamingochute.experiment.Measurement;
import org.flamingochute.experiment.model.Company;

/** Use of a full pool of workers, nearness to share and the wait of urgent jobs. */
public final class PlacementExperiment implements Experiment {

  @Override
  public String name() {
    return "placement";
  }

  @Override
  public String description() {
    return "Jobs with wrong declared sizes on a full pool with a worker that fails everything.";
  }

  @Override
  public List<Measurement> run(long seed) {
    List<Measurement> measurements = new ArrayList<>();
    for (Company company : Company.all()) {
      measurements.addAll(measure(company, "first-come", new FirstComePlacement(), seed));
      measurements.addAll(measure(company, "fair-declared", fair(false, false, false), seed));
      measurements.addAll(measure(company, "fair-no-stops", fair(true, true, false), seed));
      measurements.addAll(measure(company, "fair", fair(true, true, true), seed));
    }
    return measurements;
  }

  private static PlacementPolicy fair(boolean corrects, boolean avoids, boolean preempts) {
    FairPlacementSettings defaults = FairPlacementSettings.defaults();
    return new FairPlacement(
        new FairPlacementSettings(
            defaults.failedWorkersForParking(),
            defaults.processorOvercommitPercent(),
            defaults.reserveAfterMilliseconds(),
            corrects,
            avoids,
            preempts));
  }

  private static List<Measurement> measure(
      Company company, String policy, PlacementPolicy placement, long seed) {
    PoolSimulation simulation = new PoolSimulation(company, placement, seed).run();
    String name = company.name();
    return List.of(
        new Measurement(name, policy, "processors used", "", simulation.utilisation()),
        new Measurement(name, policy, "buffer (idle)", "", 1 - simulation.utilisation()),
        new Measurement(name, policy, "least part of share", "", simulation.leastPartOfShare()),
        new Measurement(
            name, policy, "longest urgent wait", "s", simulation.longestUrgentWait / 1000),
        new Measurement(
            name,
            policy,
            "urgent within 4 s",
            "",
            (double) simulation.urgentStartedInTime / Math.max(1, simulation.urgentStarted)),
        new Measurement(name, policy, "jobs succeeded", "jobs", simulation.succeeded),
        new Measurement(name, policy, "failed attempts", "attempts", simulation.failedAttempts),
        new Measurement(name, policy, "memory failures", "attempts", simulation.memoryFailures),
        new Measurement(name, policy, "jobs stopped", "jobs", simulation.stopped));
  }
}
