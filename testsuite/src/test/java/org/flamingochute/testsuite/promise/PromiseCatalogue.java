package org.flamingochute.testsuite.promise;

import java.util.List;

/** All promises, each with its checker. */
public final class PromiseCatalogue {

  private static final List<PromiseChecker> CHECKERS =
      List.of(
          new AvailabilityChecker(),
          new PoolMembershipChecker(),
          new KeyTeamChecker(),
          new WithdrawnKeyChecker(),
          new CapChecker(),
          new WholeAnswerChecker(),
          new NotRunChecker(),
          new AtMostOnceChecker(),
          new LeavingEndpointChecker(),
          new PlannedStopChecker(),
          new ConfigurationChecker(),
          new JobsKeptChecker());

  private PromiseCatalogue() {}

  /** Returns one checker for each promise. */
  public static List<PromiseChecker> checkers() {
    return CHECKERS;
  }

  /** Returns the violations of all promises, each with the promise that it breaks. */
  public static List<String> violations(Evidence evidence) {
    return CHECKERS.stream()
        .flatMap(
            checker ->
                checker.violations(evidence).stream()
                    .map(violation -> checker.promise() + " Broken: " + violation))
        .toList();
  }
}
