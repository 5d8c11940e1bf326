package org.flamingochute.testsuite.promise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.testsuite.observation.Observation;
import org.flamingochute.testsuite.scenario.Secrets;

/** Detects requests that a runner started more than 5 s after the removal of the caller's key. */
public final class RevokedKeyChecker implements PromiseChecker {

  private static final long REVOCATION_LIMIT_MILLISECONDS = 5_000;

  @Override
  public String promise() {
    return "A withdrawn key stops working within seconds.";
  }

  @Override
  public List<String> violations(ScenarioResult result) {
    Map<String, Long> revocationTimes = result.configurationHistory().keyRevocationTimes();
    Map<String, String> keyOfTag = new HashMap<>();
    List<String> violations = new ArrayList<>();
    for (Observation observation : result.journal().all()) {
      switch (observation) {
        case Observation.RequestSent sent ->
            keyOfTag.put(sent.tag(), Secrets.digest(sent.keySecret()));
        case Observation.RunnerStartedRequest started -> {
          Long revokedAtMilliseconds = revocationTimes.get(keyOfTag.get(started.tag()));
          if (revokedAtMilliseconds != null
              && started.atMilliseconds() > revokedAtMilliseconds + REVOCATION_LIMIT_MILLISECONDS) {
            violations.add(
                started.tag()
                    + " started at "
                    + started.atMilliseconds()
                    + " ms, its key was revoked at "
                    + revokedAtMilliseconds
                    + " ms");
          }
        }
        default -> {}
      }
    }
    return violations;
  }
}
