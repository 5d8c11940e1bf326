package org.flamingochute.decision.escrow;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against exceeding a cap, and against tokens that stay lost after the faults that {@link
 * EscrowSimulation} injects have ended.
 */
class EscrowSimulationTest {

  private static final int STEPS = 5000;

  static LongStream seeds() {
    return LongStream.rangeClosed(1, 60);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void capHoldsAndNoTokenIsLostPermanently(long seed) {
    EscrowSimulation simulation = new EscrowSimulation(seed);
    simulation.run(STEPS);
    simulation.settleAndCheck();
  }

  @Test
  void simulationStartsRequestsAndJobs() {
    EscrowSimulation simulation = new EscrowSimulation(1);
    simulation.run(STEPS);
    assertThat(simulation.starts, greaterThan(100));
    assertThat(simulation.jobStarts, greaterThan(3));
  }
}
