package org.flamingochute.experiment.request;

import java.util.ArrayList;
import java.util.List;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.experiment.Experiment;
import org.flamingochute.experiment.Measurement;
import org.flamingochute.experiment.model.Company;

/** What a service answers when it is asked for three times what it can. */
public final class OverloadExperiment implements Experiment {

  private static final double OVERLOAD = 3;
  private static final double SERVICE_MILLISECONDS = 40;
  private static final double SERVICE_SIGMA = 0.8;
  private static final double TIMEOUT_MILLISECONDS = 500;
  private static final double DURATION_MILLISECONDS = 40_000;
  private static final double GOSSIP_MILLISECONDS = 200;

  @Override
  public String name() {
    return "overload";
  }

  @Override
  public String description() {
    return "Requests answered in time at three times the capacity, with a timeout of 500 ms.";
  }

  @Override
  public List<Measurement> run(long seed) {
    List<RequestPolicy> policies =
        List.of(
            RequestPolicies.firstCome(),
            RequestPolicies.fairByDeadline(),
            RequestPolicies.fairFleet());
    List<Measurement> measurements = new ArrayList<>();
    for (Company company : Company.all()) {
      RequestScenario scenario = scenario(company);
      for (RequestPolicy policy : policies) {
        RequestRecorder recorder = new RequestSimulation(scenario, policy, seed).run();
        add(
            measurements,
            company,
            policy,
            "answered of capacity",
            "",
            recorder.answeredOfCapacity(scenario));
        add(measurements, company, policy, "answered late", "requests", recorder.answeredLate());
        add(measurements, company, policy, "wait p50", "ms", recorder.waitMilliseconds(50));
        add(measurements, company, policy, "wait p99", "ms", recorder.waitMilliseconds(99));
      }
    }
    return measurements;
  }

  private static void add(
      List<Measurement> measurements,
      Company company,
      RequestPolicy policy,
      String measure,
      String unit,
      double value) {
    measurements.add(new Measurement(company.name(), policy.name(), measure, unit, value));
  }

  private static RequestScenario scenario(Company company) {
    int runners = company.runnersPerService().getFirst();
    double capacity = runners * Company.SLOTS * 1000 / SERVICE_MILLISECONDS;
    List<TeamLoad> teams = new ArrayList<>();
    for (int i = 0; i < company.shares().size(); i++) {
      double rate = OVERLOAD * capacity / company.shares().size();
      teams.add(
          new TeamLoad(
              new TeamId("team-" + i), company.shares().get(i), rate, 0, 0, company.entries()));
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
