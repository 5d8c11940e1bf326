package org.flamingochute.experiment.request;

import java.util.ArrayList;
import java.util.List;
import org.flamingochute.decision.dispatch.EndpointPreference;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.experiment.Experiment;
import org.flamingochute.experiment.Measurement;
import org.flamingochute.experiment.model.Company;

/** How evenly entries that know little of each other fill the slots of the runners. */
public final class EndpointExperiment implements Experiment {

  private static final int RUNNERS = 8;
  private static final double SERVICE_MILLISECONDS = 40;
  private static final double SERVICE_SIGMA = 0.8;
  private static final double TIMEOUT_MILLISECONDS = 2_000;
  private static final double DURATION_MILLISECONDS = 30_000;
  private static final double GOSSIP_MILLISECONDS = 200;
  private static final int[] ENTRIES = {1, 3, 9};
  private static final double[] LOADS = {0.6, 0.9, 1.5};

  @Override
  public String name() {
    return "endpoints";
  }

  @Override
  public String description() {
    return "Waiting of requests at 8 runners of 8 slots for 1, 3, 9 entries, by endpoint choice.";
  }

  @Override
  public List<Measurement> run(long seed) {
    List<RequestPolicy> policies =
        List.of(
            RequestPolicies.withChooser("random", RequestPolicies::random, false),
            RequestPolicies.withChooser(
                "total-in-flight",
                RequestPolicies.choosing(EndpointPreference.TOTAL_IN_FLIGHT, 0),
                true),
            RequestPolicies.withChooser(
                "own-in-flight",
                RequestPolicies.choosing(EndpointPreference.OWN_IN_FLIGHT, 0),
                false),
            RequestPolicies.withChooser(
                "own-guaranteed",
                RequestPolicies.choosing(EndpointPreference.OWN_IN_FLIGHT, 1.5),
                true));
    List<Measurement> measurements = new ArrayList<>();
    for (int entries : ENTRIES) {
      for (double load : LOADS) {
        String subject = entries + " entries at " + Math.round(load * 100) + " %";
        for (RequestPolicy policy : policies) {
          measurements.addAll(run(subject, scenario(entries, load), policy, seed));
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
            subject, policy.name(), "answered of offered", "", recorder.answeredOfOffered()),
        new Measurement(
            subject, policy.name(), "waited in runner", "", simulation.waitedInRunner()),
        new Measurement(
            subject, policy.name(), "total wait p99", "ms", recorder.totalWaitMilliseconds(99)));
  }

  private static RequestScenario scenario(int entries, double load) {
    double rate = load * RUNNERS * Company.SLOTS * 1000 / SERVICE_MILLISECONDS;
    TeamLoad team = new TeamLoad(new TeamId("team"), 1, rate, 0, 0, entries);
    return new RequestScenario(
        entries,
        RUNNERS,
        SERVICE_MILLISECONDS,
        SERVICE_SIGMA,
        TIMEOUT_MILLISECONDS,
        DURATION_MILLISECONDS,
        GOSSIP_MILLISECONDS,
        List.of(team));
  }
}
