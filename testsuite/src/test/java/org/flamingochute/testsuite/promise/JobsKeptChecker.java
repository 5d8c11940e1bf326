package org.flamingochute.testsuite.promise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.testsuite.observation.Observation;

/** Checks that the final state of every connected entry contains every acknowledged job. */
public final class JobsKeptChecker implements PromiseChecker {

  @Override
  public String promise() {
    return "No accepted job vanishes.";
  }

  @Override
  public List<String> violations(Evidence evidence) {
    List<String> violations = new ArrayList<>();
    Map<String, String> jobOfTag = new HashMap<>();
    for (Observation.JobAcknowledged acknowledged :
        evidence.journal().of(Observation.JobAcknowledged.class)) {
      jobOfTag.put(acknowledged.tag(), acknowledged.job());
    }
    for (Evidence.FinalView view : evidence.finalViews()) {
      jobOfTag.forEach(
          (tag, job) -> {
            if (view.connected() && !view.phaseOfJob().containsKey(job)) {
              violations.add(tag + " (" + job + ") is missing at " + view.entry());
            }
          });
    }
    return violations;
  }
}
