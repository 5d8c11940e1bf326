package org.flamingochute.experiment.request;

import java.util.ArrayList;
import java.util.List;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.experiment.Experiment;
import org.flamingochute.experiment.Measurement;
import org.flamingochute.experiment.model.Company;

/** Measures the responses of a service under an offered load of three times its capacity. */
public final class OverloadExperiment implements Experiment {

  private static final double OVERLOAD_FACTOR = 3;
  private static final double MEAN_SERVICE_MILLISECONDS = 40;
  private static final double SERVICE_LOG_SIGMA = 0.8;
  private static final double TIMEOUT_MILLISECONDS = 500;
  private static final double DURATION_MILLISECONDS = 40_000;
  private static final double HEARTBEAT_INTERVAL_MILLISECONDS = 200;

  @Override
  public String name() {
    return "overload";
  }

  @Override
  public String description() {
    return "Requests answered in time under three times the capacity, with a timeout of 500 ms.";
  }

  @Override
  public List<Measurement> run(long seed) {
    List<RequestPolicy> policies =
        List.of(
            RequestPolicies.firstComeFirstServed(),
            RequestPolicies.fairByDeadline(),
            RequestPolicies.fairFleet());
    List<Measurement> measurements = new ArrayList<>();
    for (Company company : Company.all()) {
      RequestScenario scenario = createScenario(company);
      for (RequestPolicy policy : policies) {
        RequestRecorder recorder = new RequestSimulation(scenario, policy, seed).run();
        addMeasurement(
            measurements,
            company,
            policy,
            "answered of capacity",
            "",
            recorder.ratioOfAnsweredToCapacity(scenario));
        addMeasurement(
            measurements, company, policy, "answered late", "requests", recorder.answeredLate());
        addMeasurement(
            measurements, company, policy, "wait p50", "ms", recorder.queueWaitMilliseconds(50));
        addMeasurement(
            measurements, company, policy, "wait p99", "ms", recorder.queueWaitMilliseconds(99));
      }
    }
    return measurements;
  }

  private static void addMeasurement(
      List<Measurement> measurements,
      Company company,
      RequestPolicy policy,
      String measure,
      String unit,
      double value) {
    measurements.add(new Measurement(company.name(), policy.name(), measure, unit, value));
  }

  private static RequestScenario createScenario(Company company) {
    int runnerCount = company.runnersPerService().getFirst();
    double capacityPerSecond =
        runnerCount * Company.SLOTS_PER_RUNNER * 1000 / MEAN_SERVICE_MILLISECONDS;
    List<TeamLoad> teams = new ArrayList<>();
    for (int i = 0; i < company.teamShares().size(); i++) {
      double requestsPerSecond = OVERLOAD_FACTOR * capacityPerSecond / company.teamShares().size();
      teams.add(
          new TeamLoad(
              new TeamId("team-" + i),
              company.teamShares().get(i),
              requestsPerSecond,
              0,
              0,
              company.entryCount()));
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
