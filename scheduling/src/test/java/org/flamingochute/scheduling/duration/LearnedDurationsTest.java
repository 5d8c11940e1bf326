package org.flamingochute.scheduling.duration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Random;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Learned durations must replace wrong estimates, and only those. */
class LearnedDurationsTest {
  private static final String QUEUE = "q";
  private static final String IMAGE = "i";

  /** Runs after which a predictor other than the estimate may be in use. */
  private static final int ENOUGH_RUNS = 10;

  private static final int MANY_RUNS = 1_000;

  private final LearnedDurations durations = new LearnedDurations();
  private final Random random = new Random(1);

  private static QueuedStep step(String image, long estimate) {
    return QueuedStep.newBuilder().setImage(image).setEstimateMilliseconds(estimate).build();
  }

  private long expected(String image, long estimate) {
    return durations.expectedMilliseconds(step(image, estimate), QUEUE);
  }

  private void observe(String image, long estimate, long milliseconds) {
    durations.observe(step(image, estimate), QUEUE, milliseconds);
  }

  private void observeRuns(int count, long estimate, long milliseconds) {
    for (int i = 0; i < count; i++) {
      observe(IMAGE, estimate, milliseconds);
    }
  }

  /** Returns a value between 0.8 and 1.2. */
  private double noise() {
    return 0.8 + 0.4 * random.nextDouble();
  }

  // Guards against an order of jobs by estimates that are wrong by up to nine tenths.
  @ParameterizedTest
  @ValueSource(doubles = {0.1, 0.5, 1.9, 10})
  void wrongEstimatesAreReplacedWhereDurationsAreConstant(double error) {
    for (int i = 0; i < ENOUGH_RUNS; i++) {
      observe(IMAGE, Math.round(1_000 * error), Math.round(1_000 * noise()));
    }
    assertThat((double) expected(IMAGE, Math.round(1_000 * error)), closeTo(1_000, 150));
  }

  // Guards against one mean for jobs of different sizes, whose estimates are wrong by one factor.
  @ParameterizedTest
  @ValueSource(doubles = {0.1, 1.9})
  void estimatesOfDifferentSizesAreCorrectedByTheFactor(double error) {
    for (int i = 0; i < 2 * ENOUGH_RUNS; i++) {
      long duration = i % 2 == 0 ? 300 : 3_000;
      observe(IMAGE, Math.round(duration * error), Math.round(duration * noise()));
    }
    assertThat((double) expected(IMAGE, Math.round(300 * error)), closeTo(300, 45));
    assertThat((double) expected(IMAGE, Math.round(3_000 * error)), closeTo(3_000, 450));
  }

  // Guards against estimates that tell the size of each job being replaced by a mean, also where
  // they are a few percent too low because durations contain the delays of polls.
  @ParameterizedTest
  @ValueSource(doubles = {1, 1.04})
  void goodEstimatesStayInUse(double delay) {
    for (int i = 0; i < MANY_RUNS; i++) {
      long estimate = 200 + random.nextInt(3_000);
      observe(IMAGE, estimate, Math.round(estimate * noise() * delay));
      assertThat(expected(IMAGE, 777), is(777L));
    }
    assertThat(durations.version(), is(0L));
  }

  // Guards against a mean that the slow runs raise: 3 in 100 take seven times as long.
  @Test
  void heavyTailDoesNotRaiseTheMean() {
    for (int i = 0; i < MANY_RUNS; i++) {
      long duration = Math.round(1_000 * noise());
      observe(IMAGE, 100, random.nextInt(100) < 3 ? 7 * duration : duration);
      if (i >= 2 * ENOUGH_RUNS) {
        assertThat((double) expected(IMAGE, 100), closeTo(1_000, 200));
      }
    }
  }

  // Guards against good estimates that are given up for the slow runs.
  @Test
  void goodEstimatesStayInUseWithHeavyTail() {
    for (int i = 0; i < MANY_RUNS; i++) {
      long estimate = 200 + random.nextInt(3_000);
      observe(IMAGE, estimate, random.nextInt(100) < 3 ? 7 * estimate : estimate);
      assertThat(expected(IMAGE, 777), is(777L));
    }
  }

  // Guards against a first slow run that spoils the answer for long.
  @Test
  void slowRunAmongTheFirstIsTrimmed() {
    observe(IMAGE, 100, 7_000);
    observeRuns(ENOUGH_RUNS - 1, 100, 1_000);
    assertThat(expected(IMAGE, 100), is(1_000L));
  }

  // Guards against a new leader that relies on too few samples.
  @Test
  void newLeaderUsesEstimatesUntilItHasEnoughSamples() {
    assertThat(expected(IMAGE, 100), is(100L));
    observeRuns(ENOUGH_RUNS - 1, 100, 1_000);
    assertThat(expected(IMAGE, 100), is(100L));
    observeRuns(1, 100, 1_000);
    assertThat(expected(IMAGE, 100), is(1_000L));
  }

  // Guards against durations that stay those of an earlier version of an image.
  @Test
  void changedDurationsAreLearnedAgain() {
    observeRuns(100, 100, 1_000);
    observeRuns(100, 100, 3_000);
    assertThat((double) expected(IMAGE, 100), closeTo(3_000, 300));
    observeRuns(200, 3_500, 3_500);
    assertThat((double) expected(IMAGE, 3_500), closeTo(3_500, 350));
  }

  // Guards against samples of one image or queue that change the answer for another one.
  @Test
  void imagesAndQueuesAreSeparate() {
    observeRuns(ENOUGH_RUNS, 100, 1_000);
    assertThat(expected("other", 100), is(100L));
    assertThat(expected("", 100), is(100L));
    assertThat(durations.expectedMilliseconds(step(IMAGE, 100), "other"), is(100L));
  }

  @Test
  void stepsWithoutImageAreLearnedByQueue() {
    for (int i = 0; i < ENOUGH_RUNS; i++) {
      observe("", 100, 1_000);
    }
    assertThat(expected("", 100), is(1_000L));
    assertThat(durations.expectedMilliseconds(step("", 100), "other"), is(100L));
  }

  @Test
  void longRunningStepsAreExcluded() {
    QueuedStep serving = step(IMAGE, 100).toBuilder().setLongRunning(true).build();
    for (int i = 0; i < MANY_RUNS; i++) {
      durations.observe(serving, QUEUE, 1_000);
    }
    assertThat(expected(IMAGE, 100), is(100L));
    observeRuns(ENOUGH_RUNS, 100, 1_000);
    assertThat(durations.expectedMilliseconds(serving, QUEUE), is(100L));
  }

  // Guards against memory that grows with the number of images that callers ever name.
  @Test
  void leastRecentlyUsedImageIsDroppedAtTheLimit() {
    observeRuns(ENOUGH_RUNS, 100, 1_000);
    for (int i = 0; i < 10 * LearnedDurations.MAXIMUM_IMAGES; i++) {
      observe("image-" + i, 100, 1_000);
      assertThat(expected(IMAGE, 100), is(1_000L));
      assertThat(durations.imageCount(), lessThanOrEqualTo(LearnedDurations.MAXIMUM_IMAGES));
    }
    final long version = durations.version();
    for (int i = 0; i < LearnedDurations.MAXIMUM_IMAGES; i++) {
      observe("later-" + i, 100, 1_000);
    }
    assertThat(expected(IMAGE, 100), is(100L));
    assertThat(durations.version(), is(version + 1));
  }

  // Guards against critical paths that are computed again for each run that ends.
  @Test
  void randomVariationChangesFewAnswers() {
    for (int i = 0; i < MANY_RUNS; i++) {
      observe(IMAGE, 100, Math.round(1_000 * noise()));
    }
    assertThat(durations.version(), lessThanOrEqualTo(10L));
  }

  // Guards against a missing or zero estimate that makes the learned duration zero or infinite.
  @ParameterizedTest
  @CsvSource({"0, 500", "100, 0"})
  void zeroIsTreatedAsOneMillisecond(long estimate, long milliseconds) {
    observeRuns(ENOUGH_RUNS, estimate, milliseconds);
    assertThat(expected(IMAGE, estimate), is(Math.max(1, milliseconds)));
  }
}
