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
 * Looks for work that callers were told was not run, and that some runner began all the same.
 *
 * <p>A tag counts only when every call with it was told so, since another call of the same tag may
 * have run.
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
            violations.add(tag + " was refused as not run, but a runner began it");
          }
        });
    return violations;
  }
}
