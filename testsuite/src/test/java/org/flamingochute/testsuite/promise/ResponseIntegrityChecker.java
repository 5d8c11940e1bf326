package org.flamingochute.testsuite.promise;

import java.util.ArrayList;
import java.util.List;
import org.flamingochute.testsuite.observation.Observation;
import org.flamingochute.testsuite.observation.ObservedOutcome;

/** Compares each response body with the expected body for the request. */
public final class ResponseIntegrityChecker implements PromiseChecker {

  @Override
  public String promise() {
    return "A caller gets the whole answer to its own request.";
  }

  @Override
  public List<String> violations(ScenarioResult result) {
    List<String> violations = new ArrayList<>();
    for (Observation.RequestEnded ended : result.journal().ofType(Observation.RequestEnded.class)) {
      String expected = "answer to " + ended.tag();
      if (ended.outcome() == ObservedOutcome.ANSWERED && !ended.body().equals(expected)) {
        violations.add(ended.call() + " received the response \"" + ended.body() + "\"");
      }
    }
    return violations;
  }
}
