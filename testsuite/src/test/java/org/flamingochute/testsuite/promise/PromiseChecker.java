package org.flamingochute.testsuite.promise;

import java.util.List;

/** Checks whether a scenario kept one promise of the system. */
public interface PromiseChecker {

  /** Returns the text of the promise in one line. */
  String promise();

  /** Returns a description of each violation, in order of occurrence. */
  List<String> violations(ScenarioResult result);
}
