package org.flamingochute.scheduling.speculation;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which runs qualify for a copy. */
class CopyPolicyTest {

  /**
   * Guards against a job that waits for its slowest task, and against copies of runs that end soon.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "ordinary task of 13, 600, 50, 1200, false, 0, false",
    "straggler of 13 at 7 times the duration, 600, 7, 1200, false, 0, true",
    "straggler that is almost done, 7600, 90, 1200, false, 0, false",
    "straggler that is half done, 4200, 50, 1200, false, 0, true",
    "run that has just started, 200, 1, 100, false, 0, false",
    "run that has worked for less than a quarter of the duration, 1200, 3, 6000, false, 0, false",
    "run without progress for its expected duration, 1200, 0, 1200, false, 0, false",
    "run without progress for twice its expected duration, 2500, 0, 1200, false, 0, true",
    "task without an estimate, 600, 7, 0, false, 0, false",
    "slow worker and much work left, 1200, 40, 1200, true, 0, true",
    "slow worker and little work left, 1200, 60, 1200, true, 0, false",
    "worker that misses one status, 600, 50, 1200, false, 200, false",
    "silent worker, 600, 50, 1200, false, 400, true",
    "silent worker of a task without an estimate, 0, 0, 0, false, 400, true",
  })
  void runQualifies(
      String load,
      long elapsed,
      int percent,
      long expected,
      boolean slowWorker,
      long silent,
      boolean qualifies) {
    RunObservation run = new RunObservation(elapsed, percent, expected, slowWorker, silent);

    assertThat(load, CopyPolicy.qualifies(run), is(qualifies));
  }

  /** Guards against copies that take the capacity of a pool whose estimates are too low. */
  @ParameterizedTest
  @CsvSource({"0, 1", "9, 1", "20, 2", "250, 25"})
  void copiesAreFractionOfRunningTasks(int runningTasks, int copies) {
    assertThat(CopyPolicy.maximumCopies(runningTasks), is(copies));
  }
}
