package org.flamingochute.testsuite.promise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.testsuite.observation.Observation;

/**
 * Checks that the final state of every entry connected to the log contains every acknowledged job.
 */
public final class JobDurabilityChecker implements PromiseChecker {

  @Override
  public String promise() {
    return "No accepted job vanishes.";
  }

  @Override
  public List<String> violations(ScenarioResult result) {
    List<String> violations = new ArrayList<>();
    Map<String, String> jobOfTag = new HashMap<>();
    for (Observation.JobAcknowledged acknowledged :
        result.journal().ofType(Observation.JobAcknowledged.class)) {
      jobOfTag.put(acknowledged.tag(), acknowledged.job());
    }
    for (ScenarioResult.FinalEntryState state : result.finalEntryStates()) {
      jobOfTag.forEach(
          (tag, job) -> {
            if (state.isConnectedToLog() && !state.phaseOfJob().containsKey(job)) {
              violations.add(tag + " (" + job + ") is missing at " + state.entry());
            }
          });
    }
    return violations;
  }
}
