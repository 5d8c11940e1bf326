package org.flamingochute.testsuite.promise;

import java.util.List;

/** The list of all promise checkers. */
public final class PromiseCatalogue {

  private static final List<PromiseChecker> CHECKERS =
      List.of(
          new AvailabilityChecker(),
          new PoolMembershipChecker(),
          new KeyAuthorizationChecker(),
          new RevokedKeyChecker(),
          new CapChecker(),
          new ResponseIntegrityChecker(),
          new NotRunChecker(),
          new AtMostOnceChecker(),
          new LeavingEndpointChecker(),
          new PlannedStopChecker(),
          new ConfigurationChecker(),
          new JobDurabilityChecker());

  private PromiseCatalogue() {}

  /** Returns one checker for each promise. */
  public static List<PromiseChecker> checkers() {
    return CHECKERS;
  }

  /** Returns the violations of all promises, each prefixed with the text of the broken promise. */
  public static List<String> violations(ScenarioResult result) {
    return CHECKERS.stream()
        .flatMap(
            checker ->
                checker.violations(result).stream()
                    .map(violation -> checker.promise() + " Broken: " + violation))
        .toList();
  }
}
