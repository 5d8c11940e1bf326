package org.flamingochute.decision.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.flamingochute.decision.identity.TeamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class UsageEstimatorTest {

  private static final TeamId TEAM = new TeamId("team");
  private static final ResourceVector DECLARED = new ResourceVector(8_000, 8_192, 2);

  private final UsageEstimator estimator = new UsageEstimator();

  @ParameterizedTest
  @CsvSource({"2000,2048,2000,2048", "16000,4096,16000,4096", "8000,8192,8000,8192"})
  void convergesToConstantUsage(
      long processors, long memory, long expectedMillicores, long expectedMemory) {
    for (int i = 0; i < 30; i++) {
      estimator.observe(TEAM, DECLARED, new ResourceVector(processors, memory, 2));
    }
    ResourceVector estimate = estimator.estimate(TEAM, DECLARED);
    assertThat(estimate, equalTo(new ResourceVector(expectedMillicores, expectedMemory, 2)));
  }

  @Test
  void allowsForVaryingMemory() {
    for (int i = 0; i < 40; i++) {
      long memory = i % 2 == 0 ? 1_024 : 3_072;
      estimator.observe(TEAM, DECLARED, new ResourceVector(2_000, memory, 2));
    }
    assertThat(
        estimator.estimate(TEAM, DECLARED).memoryMebibytes(),
        both(greaterThanOrEqualTo(3_072L)).and(lessThanOrEqualTo(8_192L)));
  }

  @Test
  void singleObservationIsAppliedPartly() {
    estimator.observe(TEAM, DECLARED, new ResourceVector(800, 819, 2));
    assertThat(
        estimator.estimate(TEAM, DECLARED).processorMillicores(),
        both(greaterThanOrEqualTo(6_000L)).and(lessThanOrEqualTo(8_000L)));
  }

  @Test
  void otherTeamIsNotAffected() {
    estimator.observe(TEAM, DECLARED, new ResourceVector(800, 819, 2));
    assertThat(estimator.estimate(new TeamId("other"), DECLARED), equalTo(DECLARED));
  }
}
