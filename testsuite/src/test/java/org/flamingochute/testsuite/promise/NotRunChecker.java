package org.flamingochute.testsuite.promise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.flamingochute.testsuite.observation.Observation;
import org.flamingochute.testsuite.observation.ObservedOutcome;

/**
 * Detects requests that were reported to their callers as not run although a runner started them.
 *
 * <p>A tag is checked only if all calls with it were reported as not run, because a retry with the
 * same tag may have run.
 */
public final class NotRunChecker implements PromiseChecker {

  @Override
  public String promise() {
    return "A refusal saying \"not run\" is true.";
  }

  @Override
  public List<String> violations(ScenarioResult result) {
    Map<String, Boolean> notRunByTag = new HashMap<>();
    for (Observation.RequestEnded ended : result.journal().ofType(Observation.RequestEnded.class)) {
      boolean notRun = ended.outcome() == ObservedOutcome.NOT_RUN;
      notRunByTag.merge(ended.tag(), notRun, Boolean::logicalAnd);
    }
    Set<String> startedTags = new HashSet<>();
    result
        .journal()
        .ofType(Observation.RunnerStartedRequest.class)
        .forEach(started -> startedTags.add(started.tag()));
    List<String> violations = new ArrayList<>();
    notRunByTag.forEach(
        (tag, notRun) -> {
          if (notRun && startedTags.contains(tag)) {
            violations.add(tag + " was rejected as not run, but a runner started it");
          }
        });
    return violations;
  }
}
