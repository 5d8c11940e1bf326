package org.flamingochute.testsuite.promise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.flamingochute.testsuite.observation.CallerVerdict;
import org.flamingochute.testsuite.observation.Observation;

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
  public List<String> violations(Evidence evidence) {
    Map<String, Boolean> allNotRun = new HashMap<>();
    for (Observation.RequestEnded ended : evidence.journal().of(Observation.RequestEnded.class)) {
      boolean notRun = ended.verdict() == CallerVerdict.NOT_RUN;
      allNotRun.merge(ended.tag(), notRun, Boolean::logicalAnd);
    }
    Set<String> begun = new HashSet<>();
    evidence.journal().of(Observation.RunnerBegan.class).forEach(began -> begun.add(began.tag()));
    List<String> violations = new ArrayList<>();
    allNotRun.forEach(
        (tag, notRun) -> {
          if (notRun && begun.contains(tag)) {
            violations.add(tag + " was rejected as not run, but a runner started it");
          }
        });
    return violations;
  }
}
