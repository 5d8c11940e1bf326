package org.flamingochute.testsuite.promise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.testsuite.observation.Observation;
import org.flamingochute.testsuite.scenario.Secrets;

/** Detects requests that a runner started after the time limit for revoking the caller's key. */
public final class WithdrawnKeyChecker implements PromiseChecker {

  private static final long LIMIT_MILLISECONDS = 5_000;

  @Override
  public String promise() {
    return "A withdrawn key stops working within seconds.";
  }

  @Override
  public List<String> violations(Evidence evidence) {
    Map<String, Long> withdrawals = evidence.declarations().withdrawals();
    Map<String, String> keyOfTag = new HashMap<>();
    List<String> violations = new ArrayList<>();
    for (Observation observation : evidence.journal().all()) {
      switch (observation) {
        case Observation.RequestSent sent ->
            keyOfTag.put(sent.tag(), Secrets.digest(sent.keySecret()));
        case Observation.RunnerBegan began -> {
          Long withdrawn = withdrawals.get(keyOfTag.get(began.tag()));
          if (withdrawn != null && began.atMilliseconds() > withdrawn + LIMIT_MILLISECONDS) {
            violations.add(
                began.tag()
                    + " started at "
                    + began.atMilliseconds()
                    + " ms, its key was revoked at "
                    + withdrawn
                    + " ms");
          }
        }
        default -> {}
      }
    }
    return violations;
  }
}
