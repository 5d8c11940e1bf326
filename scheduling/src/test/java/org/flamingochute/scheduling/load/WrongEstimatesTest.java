package org.flamingochute.scheduling.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.flamingochute.scheduling.load.WrongEstimates.Image;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against jobs that miss their objectives in load peaks because the estimates of their
 * images are wrong by up to nine tenths.
 */
class WrongEstimatesTest {

  private static int jobsInTime(long seed, boolean learned, double slowFactor, double fastFactor) {
    List<Image> images =
        List.of(new Image("slow", 1_500, slowFactor), new Image("fast", 500, fastFactor));
    return new WrongEstimates(seed, learned, images).run();
  }

  // The first pairs of factors differ by image, the last is the same for all.
  @ParameterizedTest
  @CsvSource({"1, 0.1, 1.9", "2, 0.1, 1.9", "1, 1.9, 0.1", "2, 1.9, 0.1", "1, 0.1, 0.1"})
  void moreJobsEndInTimeWithLearnedDurations(long seed, double slowFactor, double fastFactor) {
    int withEstimates = jobsInTime(seed, false, slowFactor, fastFactor);
    int withLearned = jobsInTime(seed, true, slowFactor, fastFactor);
    assertThat(withLearned, is(greaterThan(withEstimates)));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void goodEstimatesGiveTheSameResult(long seed) {
    assertThat(jobsInTime(seed, true, 1, 1), is(jobsInTime(seed, false, 1, 1)));
  }
}
