package org.flamingochute.experiment.model;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import org.flamingochute.decision.identity.TeamId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MaximumMinimumShareTest {

  private static double[] numbers(String text) {
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
    Map<TeamId, Double> demandOf = new TreeMap<>();
    Map<TeamId, Integer> weightOf = new TreeMap<>();
    double[] demand = numbers(demands);
    for (int i = 0; i < demand.length; i++) {
      demandOf.put(new TeamId("team-" + i), demand[i]);
      weightOf.put(new TeamId("team-" + i), (int) numbers(weights)[i]);
    }
    Map<TeamId, Double> found = MaximumMinimumShare.allocate(capacity, demandOf, weightOf);
    for (int i = 0; i < demand.length; i++) {
      assertThat(found.get(new TeamId("team-" + i)), closeTo(numbers(expected)[i], 1e-9));
    }
  }
}
