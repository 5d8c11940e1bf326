package org.flamingochute.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.ArrayList;
import java.util.List;
import org.flamingochute.platform.http.NumericAddress;
import org.flamingochute.standin.VirtualTimers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that paused entries are skipped unless all are paused. */
class BalancerTest {

  @ParameterizedTest(name = "with {0} paused {1} ms ago the selected entries are {2}")
  @CsvSource({
    "'', 0, 1 2 3 1",
    "2, 0, 1 3 1 3",
    "2, 499, 1 3 1 3",
    "2, 500, 1 2 3 1",
    "1 2, 0, 3 3 3 3",
    "1 2 3, 0, 1 2 3 1",
  })
  void pausedEntriesAreSkipped(String paused, long pausedAgoMilliseconds, String expectedEntries) {
    VirtualTimers timers = new VirtualTimers();
    List<NumericAddress> entries = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      entries.add(NumericAddress.parse("127.0.0.1:" + i).get());
    }
    Balancer balancer = new Balancer(entries, timers);
    for (String port : paused.isEmpty() ? new String[0] : paused.split(" ")) {
      balancer.pause(entries.get(Integer.parseInt(port) - 1));
    }
    timers.advance(pausedAgoMilliseconds);
    List<String> selected = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      selected.add(Integer.toString(balancer.next().socketAddress().getPort()));
    }
    assertThat(String.join(" ", selected), equalTo(expectedEntries));
  }
}
