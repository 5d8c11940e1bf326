package org.flamingochute.decision.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SlotFractionTest {

  @ParameterizedTest
  @CsvSource({
    "'',4,0.25",
    "3 0 0,4,0.25",
    "3 0 8,4,0.125",
    "3 8 8,4,0.625",
    "3 8 8;1 4 8,4,0.5625",
    "3 2 8;1 0 0,4,0.25",
    "1 9 8,1,1",
  })
  void followsWaitingRequests(String text, int entries, double expected) {
    List<TeamWaitingCount> teams = new ArrayList<>();
    for (String team : text.isEmpty() ? new String[0] : text.split(";")) {
      int[] parts = Arrays.stream(team.split(" ")).mapToInt(Integer::parseInt).toArray();
      teams.add(new TeamWaitingCount(parts[0], parts[1], parts[2]));
    }
    assertThat(SlotFraction.of(teams, entries), closeTo(expected, 1e-9));
  }
}
