package org.flamingochute.testsuite.promise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.testsuite.observation.Observation;

/**
 * Detects work that started on a runner or worker more than a few seconds after the platform marked
 * the instance as leaving.
 */
public final class LeavingEndpointChecker implements PromiseChecker {

  private static final long LIMIT_MILLISECONDS = 4_000;

  @Override
  public String promise() {
    return "A leaving endpoint gets no new work after a few seconds.";
  }

  @Override
  public List<String> violations(ScenarioResult result) {
    long limit = LIMIT_MILLISECONDS + result.listLagMilliseconds();
    Map<String, Long> leavingSince = new HashMap<>();
    List<String> violations = new ArrayList<>();
    for (Observation observation : result.journal().all()) {
      switch (observation) {
        case Observation.InstanceChanged changed -> {
          if (changed.state() == InstanceState.INSTANCE_LEAVING) {
            leavingSince.putIfAbsent(changed.instance(), changed.atMilliseconds());
          }
          if (changed.state() == InstanceState.INSTANCE_LIVE) {
            leavingSince.remove(changed.instance());
          }
        }
        case Observation.RunnerStartedRequest started ->
            checkStart(
                started.atMilliseconds(),
                started.runner(),
                started.tag(),
                limit,
                leavingSince,
                violations);
        case Observation.TaskStarted started ->
            checkStart(
                started.atMilliseconds(),
                started.worker(),
                started.tag(),
                limit,
                leavingSince,
                violations);
        default -> {}
      }
    }
    return violations;
  }

  private static void checkStart(
      long at,
      String instance,
      String tag,
      long limit,
      Map<String, Long> leavingSince,
      List<String> violations) {
    Long since = leavingSince.get(instance);
    if (since != null && at > since + limit) {
      violations.add(
          tag
              + " started on "
              + instance
              + " at "
              + at
              + " ms; the instance has been leaving since "
              + since
              + " ms");
    }
  }
}
