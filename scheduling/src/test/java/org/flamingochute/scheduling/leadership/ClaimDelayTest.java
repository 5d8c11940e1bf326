package org.flamingochute.scheduling.leadership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ClaimDelayTest {

  @ParameterizedTest
  @CsvSource({"0.36,1000", "1.5,10", "0.36,10", "0,0"})
  void smallInstanceClaimsAfterEveryLargeOne(double cores, double linkMegabits) {
    for (String large : new String[] {"a", "edge-7", "node-with-another-name"}) {
      for (String small : new String[] {"b", "edge-8", "node-of-some-name"}) {
        assertThat(
            ClaimDelay.delayMilliseconds(small, cores, linkMegabits),
            greaterThan(ClaimDelay.delayMilliseconds(large, 0.75, 1_000)));
      }
    }
  }

  @Test
  void smallerInstanceClaimsLater() {
    assertThat(
        ClaimDelay.delayMilliseconds("a", 0.2, 1_000),
        greaterThan(ClaimDelay.delayMilliseconds("a", 0.3, 1_000)));
  }

  @Test
  void claimsOfEqualInstancesAreSpread() {
    long first = ClaimDelay.delayMilliseconds("edge-1", 1, 1_000);
    assertThat(first, lessThan(300L));
    assertThat(first == ClaimDelay.delayMilliseconds("edge-2", 1, 1_000), is(false));
  }
}
