package org.flamingochute.testsuite.promise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.flamingochute.testsuite.observation.Observation;

/**
 * Checks that runners and workers started each non-idempotent request or job at most once. Calls
 * with the same tag are the same request.
 */
public final class AtMostOnceChecker implements PromiseChecker {

  @Override
  public String promise() {
    return "A non-idempotent request runs at most once.";
  }

  @Override
  public List<String> violations(ScenarioResult result) {
    Set<String> nonIdempotentTags = new HashSet<>();
    Map<String, Integer> startsByTag = new HashMap<>();
    for (Observation observation : result.journal().all()) {
      switch (observation) {
        case Observation.RequestSent sent when !sent.idempotent() ->
            nonIdempotentTags.add(sent.tag());
        case Observation.JobSubmissionSent sent when !sent.idempotent() ->
            nonIdempotentTags.add(sent.tag());
        case Observation.RunnerStartedRequest started ->
            startsByTag.merge(started.tag(), 1, Integer::sum);
        case Observation.TaskStarted started -> startsByTag.merge(started.tag(), 1, Integer::sum);
        default -> {}
      }
    }
    List<String> violations = new ArrayList<>();
    startsByTag.forEach(
        (tag, count) -> {
          if (count > 1 && nonIdempotentTags.contains(tag)) {
            violations.add(tag + " was started " + count + " times");
          }
        });
    return violations;
  }
}
