package org.flamingochute.experiment.request;

import java.util.ArrayList;
import java.util.List;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.experiment.Experiment;
import org.flamingochute.experiment.Measurement;
import org.flamingochute.experiment.model.Company;

/**
 * How close each team of a crowded service comes to its max-min fair share, over windows of 10 s.
 *
 * <p>The service is asked for twice what it can answer. One small team asks for most, one large
 * team comes and goes, and the callers of some teams reach only some of the entries.
 */
public final class ShareExperiment implements Experiment {

  private static final double SERVICE_MILLISECONDS = 40;
  private static final double SERVICE_SIGMA = 0.5;
  private static final double TIMEOUT_MILLISECONDS = 2_000;
  private static final double DURATION_MILLISECONDS = 80_000;
  private static final double GOSSIP_MILLISECONDS = 200;

  /** Demand of each team, as a part of the capacity. */
  private static final double[] DEMAND = {0.45, 0.25, 0.10, 0.90, 0.05, 0.25};

  @Override
  public String name() {
    return "share";
  }

  @Override
  public String description() {
    return "Answers of each team in windows of 10 s as part of its max-min share, twice"
        + " the capacity.";
  }

  @Override
  public List<Measurement> run(long seed) {
    List<RequestPolicy> policies =
        List.of(
            RequestPolicies.firstCome(), RequestPolicies.fairLocal(), RequestPolicies.fairFleet());
    List<Measurement> measurements = new ArrayList<>();
    for (Company company : Company.all()) {
      RequestScenario scenario = scenario(company);
      for (RequestPolicy policy : policies) {
        RequestRecorder recorder = new RequestSimulation(scenario, policy, seed).run();
        List<Double> parts = recorder.nearnessToShare(scenario);
        double least = parts.stream().mapToDouble(Double::doubleValue).min().orElseThrow();
        double mean = parts.stream().mapToDouble(part -> Math.min(1, part)).average().orElseThrow();
        measurements.add(
            new Measurement(company.name(), policy.name(), "least part of share", "", least));
        measurements.add(
            new Measurement(company.name(), policy.name(), "mean part of share", "", mean));
        measurements.add(
            new Measurement(
                company.name(),
                policy.name(),
                "answered of capacity",
                "",
                recorder.answeredOfCapacity(scenario)));
      }
    }
    return measurements;
  }

  private static RequestScenario scenario(Company company) {
    int runners = company.runnersPerService().getFirst();
    double capacity = runners * Company.SLOTS * 1000 / SERVICE_MILLISECONDS;
    List<TeamLoad> teams = new ArrayList<>();
    for (int i = 0; i < company.shares().size(); i++) {
      boolean comesAndGoes = i == 1;
      int entries = i % 2 == 0 ? company.entries() : 2 + i / 2;
      teams.add(
          new TeamLoad(
              new TeamId("team-" + i),
              company.shares().get(i),
              DEMAND[i] * capacity,
              comesAndGoes ? 7_000 : 0,
              comesAndGoes ? 3_000 : 0,
              entries));
    }
    return new RequestScenario(
        company.entries(),
        runners,
        SERVICE_MILLISECONDS,
        SERVICE_SIGMA,
        TIMEOUT_MILLISECONDS,
        DURATION_MILLISECONDS,
        GOSSIP_MILLISECONDS,
        teams);
  }
}
