package org.flamingochute.experiment.request;

import java.util.ArrayList;
import java.util.List;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.experiment.Experiment;
import org.flamingochute.experiment.Measurement;
import org.flamingochute.experiment.model.Company;

/**
 * Measures how close each team of an overloaded service comes to its max-min fair share, in windows
 * of 10 s.
 *
 * <p>The offered load is twice the capacity of the service. One team with a small share has the
 * largest demand, and one team with a large share is active intermittently. In the skewed case the
 * callers of every second team reach only some of the entries.
 */
public final class ShareExperiment implements Experiment {

  private static final double MEAN_SERVICE_MILLISECONDS = 40;
  private static final double SERVICE_LOG_SIGMA = 0.5;
  private static final double TIMEOUT_MILLISECONDS = 2_000;
  private static final double DURATION_MILLISECONDS = 60_000;
  private static final double HEARTBEAT_INTERVAL_MILLISECONDS = 200;

  /** Demand of each team, as a ratio to the capacity. */
  private static final double[] DEMAND_RATIOS = {0.45, 0.25, 0.10, 0.90, 0.05, 0.25};

  @Override
  public String name() {
    return "share";
  }

  @Override
  public String description() {
    return "Responses of each team in windows of 10 s as a ratio to its max-min fair share,"
        + " under twice the capacity.";
  }

  @Override
  public List<Measurement> run(long seed) {
    List<RequestPolicy> policies =
        List.of(
            RequestPolicies.firstComeFirstServed(),
            RequestPolicies.fairLocal(),
            RequestPolicies.fairFleet(),
            RequestPolicies.fairSlots());
    List<Measurement> measurements = new ArrayList<>();
    for (Company company : Company.all()) {
      for (boolean isSkewed : new boolean[] {false, true}) {
        String subject = company.name() + (isSkewed ? " skewed" : " even");
        for (RequestPolicy policy : policies) {
          measurements.addAll(run(subject, createScenario(company, isSkewed), policy, seed));
        }
      }
    }
    return measurements;
  }

  private static List<Measurement> run(
      String subject, RequestScenario scenario, RequestPolicy policy, long seed) {
    RequestRecorder recorder = new RequestSimulation(scenario, policy, seed).run();
    List<Double> ratios = recorder.ratiosToFairShare(scenario);
    double minimumRatio = ratios.stream().mapToDouble(Double::doubleValue).min().orElseThrow();
    double meanRatio =
        ratios.stream().mapToDouble(ratio -> Math.min(1, ratio)).average().orElseThrow();
    double answeredRatio = recorder.ratioOfAnsweredToCapacity(scenario);
    return List.of(
        new Measurement(subject, policy.name(), "least part of share", "", minimumRatio),
        new Measurement(subject, policy.name(), "mean part of share", "", meanRatio),
        new Measurement(subject, policy.name(), "answered of capacity", "", answeredRatio));
  }

  private static RequestScenario createScenario(Company company, boolean isSkewed) {
    int runnerCount = company.runnersPerService().getFirst();
    double capacityPerSecond =
        runnerCount * Company.SLOTS_PER_RUNNER * 1000 / MEAN_SERVICE_MILLISECONDS;
    List<TeamLoad> teams = new ArrayList<>();
    for (int i = 0; i < company.teamShares().size(); i++) {
      boolean isIntermittent = i == 1;
      int reachableEntries = isSkewed && i % 2 == 1 ? 2 + i / 2 : company.entryCount();
      teams.add(
          new TeamLoad(
              new TeamId("team-" + i),
              company.teamShares().get(i),
              DEMAND_RATIOS[i] * capacityPerSecond,
              isIntermittent ? 30_000 : 0,
              isIntermittent ? 10_000 : 0,
              reachableEntries));
    }
    return new RequestScenario(
        company.entryCount(),
        runnerCount,
        MEAN_SERVICE_MILLISECONDS,
        SERVICE_LOG_SIGMA,
        TIMEOUT_MILLISECONDS,
        DURATION_MILLISECONDS,
        HEARTBEAT_INTERVAL_MILLISECONDS,
        teams);
  }
}
