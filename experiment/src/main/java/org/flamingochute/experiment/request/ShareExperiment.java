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
 * team comes and goes. In the skewed case the callers of every second team reach only some of the
 * entries.
 */
public final class ShareExperiment implements Experiment {

  private static final double SERVICE_MILLISECONDS = 40;
  private static final double SERVICE_SIGMA = 0.5;
  private static final double TIMEOUT_MILLISECONDS = 2_000;
  private static final double DURATION_MILLISECONDS = 60_000;
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
            RequestPolicies.firstCome(),
            RequestPolicies.fairLocal(),
            RequestPolicies.fairFleet(),
            RequestPolicies.fairSlots());
    List<Measurement> measurements = new ArrayList<>();
    for (Company company : Company.all()) {
      for (boolean skewed : new boolean[] {false, true}) {
        String subject = company.name() + (skewed ? " skewed" : " even");
        for (RequestPolicy policy : policies) {
          measurements.addAll(run(subject, scenario(company, skewed), policy, seed));
        }
      }
    }
    return measurements;
  }

  private static List<Measurement> run(
      String subject, RequestScenario scenario, RequestPolicy policy, long seed) {
    RequestRecorder recorder = new RequestSimulation(scenario, policy, seed).run();
    List<Double> parts = recorder.nearnessToShare(scenario);
    double least = parts.stream().mapToDouble(Double::doubleValue).min().orElseThrow();
    double mean = parts.stream().mapToDouble(part -> Math.min(1, part)).average().orElseThrow();
    double answered = recorder.answeredOfCapacity(scenario);
    return List.of(
        new Measurement(subject, policy.name(), "least part of share", "", least),
        new Measurement(subject, policy.name(), "mean part of share", "", mean),
        new Measurement(subject, policy.name(), "answered of capacity", "", answered));
  }

  private static RequestScenario scenario(Company company, boolean skewed) {
    int runners = company.runnersPerService().getFirst();
    double capacity = runners * Company.SLOTS * 1000 / SERVICE_MILLISECONDS;
    List<TeamLoad> teams = new ArrayList<>();
    for (int i = 0; i < company.shares().size(); i++) {
      boolean comesAndGoes = i == 1;
      int entries = skewed && i % 2 == 1 ? 2 + i / 2 : company.entries();
      teams.add(
          new TeamLoad(
              new TeamId("team-" + i),
              company.shares().get(i),
              DEMAND[i] * capacity,
              comesAndGoes ? 30_000 : 0,
              comesAndGoes ? 10_000 : 0,
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
