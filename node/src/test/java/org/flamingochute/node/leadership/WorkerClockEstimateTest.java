package org.flamingochute.node.leadership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the bounds that readings of a worker's clock give. */
class WorkerClockEstimateTest {
  /** A worker's clock may be 2 % slow. */
  private static final double SLOWEST_RATE = 0.98;

  private static final long LONGEST_AGE_MILLISECONDS = 5_000;

  /**
   * Guards against waits for the longest lease: the response to a start has a clock below the bound
   * only because both clocks are read in whole milliseconds, and counts as one of an incarnation
   * that has started since.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0.0, 0.3, 0.5, 0.99})
  void slowestClockIsNotBelowTheLowerBound(double fraction) {
    long firstRead = 1_000;
    for (long elapsed = 0; elapsed <= LONGEST_AGE_MILLISECONDS; elapsed++) {
      WorkerClockEstimate estimate = new WorkerClockEstimate();
      double clockAtFirstRead = 70_000 + fraction;
      estimate.observe((long) clockAtFirstRead, firstRead);
      // The leader's readings are truncated as well, so less time may have passed.
      double passed = Math.max(0, elapsed - 1);
      long clock = (long) (clockAtFirstRead + passed * SLOWEST_RATE);
      assertThat(estimate.earliestAt(firstRead + elapsed), lessThanOrEqualTo(clock));
    }
  }

  @ParameterizedTest
  @CsvSource({"0, true", "5000, true", "5001, false"})
  void oldReadingIsNotUsed(long age, boolean expected) {
    WorkerClockEstimate estimate = new WorkerClockEstimate();
    estimate.observe(70_000, 1_000);
    assertThat(estimate.isRecent(1_000 + age), is(expected));
  }
}
