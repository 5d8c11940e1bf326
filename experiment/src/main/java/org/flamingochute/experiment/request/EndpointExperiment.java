package org.flamingochute.experiment.request;

import java.util.ArrayList;
import java.util.List;
import org.flamingochute.decision.dispatch.EndpointPreference;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.experiment.Experiment;
import org.flamingochute.experiment.Measurement;
import org.flamingochute.experiment.model.Company;

/**
 * Compares endpoint choosers by how evenly several entries fill the slots of the runners, when each
 * entry has no or only delayed information on the requests of the others.
 */
public final class EndpointExperiment implements Experiment {

  private static final int RUNNER_COUNT = 8;
  private static final double MEAN_SERVICE_MILLISECONDS = 40;
  private static final double SERVICE_LOG_SIGMA = 0.8;
  private static final double TIMEOUT_MILLISECONDS = 2_000;
  private static final double DURATION_MILLISECONDS = 30_000;
  private static final double HEARTBEAT_INTERVAL_MILLISECONDS = 200;
  private static final int[] ENTRY_COUNTS = {1, 3, 9};
  private static final double[] LOAD_RATIOS = {0.6, 0.9, 1.5};

  @Override
  public String name() {
    return "endpoints";
  }

  @Override
  public String description() {
    return "Request waits at 8 runners of 8 slots with 1, 3 and 9 entries, by endpoint chooser.";
  }

  @Override
  public List<Measurement> run(long seed) {
    List<RequestPolicy> policies =
        List.of(
            RequestPolicies.withChooser("random", RequestPolicies::randomChooser, false),
            RequestPolicies.withChooser(
                "total-in-flight",
                RequestPolicies.leastLoadedChooser(EndpointPreference.TOTAL_IN_FLIGHT, 0),
                true),
            RequestPolicies.withChooser(
                "own-in-flight",
                RequestPolicies.leastLoadedChooser(EndpointPreference.OWN_IN_FLIGHT, 0),
                false),
            RequestPolicies.withChooser(
                "own-guaranteed",
                RequestPolicies.leastLoadedChooser(EndpointPreference.OWN_IN_FLIGHT, 1.5),
                true));
    List<Measurement> measurements = new ArrayList<>();
    for (int entryCount : ENTRY_COUNTS) {
      for (double loadRatio : LOAD_RATIOS) {
        String subject = entryCount + " entries at " + Math.round(loadRatio * 100) + " %";
        for (RequestPolicy policy : policies) {
          measurements.addAll(run(subject, createScenario(entryCount, loadRatio), policy, seed));
        }
      }
    }
    return measurements;
  }

  private static List<Measurement> run(
      String subject, RequestScenario scenario, RequestPolicy policy, long seed) {
    RequestSimulation simulation = new RequestSimulation(scenario, policy, seed);
    RequestRecorder recorder = simulation.run();
    return List.of(
        new Measurement(
            subject, policy.name(), "answered of offered", "", recorder.ratioOfAnsweredToOffered()),
        new Measurement(
            subject, policy.name(), "waited in runner", "", simulation.ratioQueuedInRunner()),
        new Measurement(
            subject, policy.name(), "total wait p99", "ms", recorder.totalWaitMilliseconds(99)));
  }

  private static RequestScenario createScenario(int entryCount, double loadRatio) {
    double requestsPerSecond =
        loadRatio * RUNNER_COUNT * Company.SLOTS_PER_RUNNER * 1000 / MEAN_SERVICE_MILLISECONDS;
    TeamLoad team = new TeamLoad(new TeamId("team"), 1, requestsPerSecond, 0, 0, entryCount);
    return new RequestScenario(
        entryCount,
        RUNNER_COUNT,
        MEAN_SERVICE_MILLISECONDS,
        SERVICE_LOG_SIGMA,
        TIMEOUT_MILLISECONDS,
        DURATION_MILLISECONDS,
        HEARTBEAT_INTERVAL_MILLISECONDS,
        List.of(team));
  }
}
