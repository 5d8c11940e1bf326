package org.flamingochute.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the rates of bursts, the sampled arrivals, and that they depend only on the seed. */
class ArrivalTimesTest {

  private static final long SEED = 7;

  @ParameterizedTest(name = "class {0} of {1} with bursts of {2} ms has rate {4}/s at {3} ms")
  @CsvSource({
    "0, 5, 3000, 0, 50",
    "0, 5, 3000, 2999, 50",
    "0, 5, 3000, 3000, 0.5",
    "1, 5, 3000, 3000, 50",
    "1, 5, 3000, 18000, 50",
    "1, 5, 0, 18000, 10",
    "0, 1, 3000, 4000, 10",
  })
  void classesBurstInTurn(int position, int classes, long burst, long at, double rate) {
    ArrivalRate arrivals = new ArrivalRate(10, burst, position, classes);
    assertThat(arrivals.perSecondAt(at), closeTo(rate, 0.001));
  }

  @ParameterizedTest(name = "from {0} to {1} ms about {2} arrive")
  @CsvSource({"0, 3000, 1500", "3000, 15000, 60", "15000, 18000, 1500"})
  void arrivalsFollowTheRate(long from, long to, double expected) {
    ArrivalTimes times = new ArrivalTimes(new ArrivalRate(100, 3000, 0, 5), SEED);
    long count = 0;
    for (long at = times.nextMilliseconds(); at < to; at = times.nextMilliseconds()) {
      if (at >= from) {
        count++;
      }
    }
    assertThat((double) count, closeTo(expected, expected / 5));
  }

  @ParameterizedTest(name = "seed {0} results in the same times")
  @CsvSource({"1", "2"})
  void sameSeedReturnsSameTimes(long seed) {
    ArrivalRate rate = new ArrivalRate(100, 3000, 0, 5);
    ArrivalTimes first = new ArrivalTimes(rate, seed);
    ArrivalTimes second = new ArrivalTimes(rate, seed);
    for (int i = 0; i < 100; i++) {
      assertThat(first.nextMilliseconds(), equalTo(second.nextMilliseconds()));
    }
  }
}
