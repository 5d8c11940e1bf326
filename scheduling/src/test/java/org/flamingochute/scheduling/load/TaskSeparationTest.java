package org.flamingochute.scheduling.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.google.common.flogger.FluentLogger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against fillers that disturb serving tasks beside them although harmless fillers could run
 * there instead.
 */
class TaskSeparationTest {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long DURATION_MILLISECONDS = 120_000;

  private static SeparatedFillers.Result play(
      boolean separation, int disturbing, int calm, long seed) {
    SeparatedFillers.Result result =
        new SeparatedFillers(separation, disturbing, calm, seed).play(DURATION_MILLISECONDS);
    logger.atInfo().log(
        "event=separated_fillers separation=%b disturbing=%d calm=%d seed=%d result=%s",
        separation, disturbing, calm, seed, result);
    return result;
  }

  @ParameterizedTest
  @CsvSource({"24, 20, 1", "24, 20, 2", "28, 12, 1", "12, 36, 1"})
  void disturbingFillersGetTheWorkersWithoutServingTasks(int disturbing, int calm, long seed) {
    SeparatedFillers.Result without = play(false, disturbing, calm, seed);
    SeparatedFillers.Result with = play(true, disturbing, calm, seed);
    assertThat(
        with.aboveTargetMilliseconds(), lessThan(without.aboveTargetMilliseconds() * 7 / 10));
    assertThat(with.completedFillers(), greaterThanOrEqualTo(without.completedFillers()));
  }

  /** A successor, which knows no pair, must do no worse than without the part, and learn again. */
  @Test
  void successorLearnsAgain() {
    SeparatedFillers.Result without =
        new SeparatedFillers(false, 24, 20, 2)
            .replaceLeaderAt(DURATION_MILLISECONDS / 2)
            .play(DURATION_MILLISECONDS);
    SeparatedFillers.Result with =
        new SeparatedFillers(true, 24, 20, 2)
            .replaceLeaderAt(DURATION_MILLISECONDS / 2)
            .play(DURATION_MILLISECONDS);
    logger.atInfo().log("event=separated_fillers_with_successor without=%s with=%s", without, with);
    assertThat(
        with.aboveTargetMilliseconds(), lessThan(without.aboveTargetMilliseconds() * 7 / 10));
  }

  /** All workers have serving tasks or are full, so nothing can be kept apart. */
  @Test
  void fillersRunBesideServingTasksWithoutOtherRoom() {
    SeparatedFillers.Result without = play(false, 56, 0, 1);
    SeparatedFillers.Result with = play(true, 56, 0, 1);
    assertThat(with.completedFillers(), greaterThanOrEqualTo(without.completedFillers() * 9 / 10));
    assertThat(
        with.aboveTargetMilliseconds(),
        lessThanOrEqualTo(without.aboveTargetMilliseconds() * 11 / 10));
  }
}
