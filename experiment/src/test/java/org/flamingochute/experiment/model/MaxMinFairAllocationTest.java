package org.flamingochute.experiment.model;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import org.flamingochute.decision.identity.TeamId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MaxMinFairAllocationTest {

  private static double[] parseNumbers(String text) {
    return Arrays.stream(text.split(" ")).mapToDouble(Double::parseDouble).toArray();
  }

  @ParameterizedTest
  @CsvSource({
    "12,2 4 10,1 1 1,2 4 6",
    "12,10 10 10,1 1 2,3 3 6",
    "12,1 1 1,1 1 1,1 1 1",
    "10,0 8 8,5 1 1,0 5 5",
    "10,1 9 9,8 1 1,1 4.5 4.5",
  })
  void allocatesByWaterFilling(double capacity, String demands, String weights, String expected) {
    Map<TeamId, Double> demandByTeam = new TreeMap<>();
    Map<TeamId, Integer> weightByTeam = new TreeMap<>();
    double[] demand = parseNumbers(demands);
    for (int i = 0; i < demand.length; i++) {
      demandByTeam.put(new TeamId("team-" + i), demand[i]);
      weightByTeam.put(new TeamId("team-" + i), (int) parseNumbers(weights)[i]);
    }
    Map<TeamId, Double> allocation =
        MaxMinFairAllocation.allocate(capacity, demandByTeam, weightByTeam);
    for (int i = 0; i < demand.length; i++) {
      assertThat(allocation.get(new TeamId("team-" + i)), closeTo(parseNumbers(expected)[i], 1e-9));
    }
  }
}
