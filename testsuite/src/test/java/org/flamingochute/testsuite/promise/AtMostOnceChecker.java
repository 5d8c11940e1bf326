package org.flamingochute.testsuite.promise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.flamingochute.testsuite.observation.Observation;

/** Checks that runners and workers started each non-idempotent request or job at most once. */
public final class AtMostOnceChecker implements PromiseChecker {

  @Override
  public String promise() {
    return "A non-idempotent request runs at most once.";
  }

  @Override
  public List<String> violations(Evidence evidence) {
    Set<String> once = new HashSet<>();
    Map<String, Integer> begun = new HashMap<>();
    for (Observation observation : evidence.journal().all()) {
      switch (observation) {
        case Observation.RequestSent sent when !sent.idempotent() -> once.add(sent.tag());
        case Observation.JobSent sent when !sent.idempotent() -> once.add(sent.tag());
        case Observation.RunnerBegan began -> begun.merge(began.tag(), 1, Integer::sum);
        case Observation.TaskBegan began -> begun.merge(began.tag(), 1, Integer::sum);
        default -> {}
      }
    }
    List<String> violations = new ArrayList<>();
    begun.forEach(
        (tag, count) -> {
          if (count > 1 && once.contains(tag)) {
            violations.add(tag + " was started " + count + " times");
          }
        });
    return violations;
  }
}
