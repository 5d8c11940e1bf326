package org.flamingochute.testsuite.promise;

import java.util.List;

/** Judges one promise. */
public interface PromiseChecker {

  /** Returns the promise in one line. */
  String promise();

  /** Returns a description of each violation, in the order in which they happened. */
  List<String> violations(Evidence evidence);
}
