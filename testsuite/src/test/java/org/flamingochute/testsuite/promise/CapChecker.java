package org.flamingochute.testsuite.promise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.testsuite.observation.Observation;

/**
 * Counts the running requests and job attempts of each team. No start may raise the count above the
 * largest cap that was declared within the propagation delay.
 */
public final class CapChecker implements PromiseChecker {

  private static final long PROPAGATION_MILLISECONDS = 5_000;

  @Override
  public String promise() {
    return "No team has more running than its cap.";
  }

  @Override
  public List<String> violations(ScenarioResult result) {
    List<String> violations = new ArrayList<>();
    Map<String, Integer> running = new HashMap<>();
    for (Observation observation : result.journal().all()) {
      switch (observation) {
        case Observation.RunnerStartedRequest started ->
            recordStart(result, started.atMilliseconds(), started.team(), running, violations);
        case Observation.TaskStarted started ->
            recordStart(result, started.atMilliseconds(), started.team(), running, violations);
        case Observation.RunnerEndedRequest ended -> running.merge(ended.team(), -1, Integer::sum);
        case Observation.TaskEnded ended -> running.merge(ended.team(), -1, Integer::sum);
        default -> {}
      }
    }
    return violations;
  }

  private static void recordStart(
      ScenarioResult result,
      long at,
      String team,
      Map<String, Integer> running,
      List<String> violations) {
    int runningCount = running.merge(team, 1, Integer::sum);
    long cap =
        result
            .configurationHistory()
            .largestValueBetween(at - PROPAGATION_MILLISECONDS, at, "team " + team, "cap");
    if (runningCount > cap) {
      violations.add(
          "at " + at + " ms team " + team + " has " + runningCount + " running, cap " + cap);
    }
  }
}
