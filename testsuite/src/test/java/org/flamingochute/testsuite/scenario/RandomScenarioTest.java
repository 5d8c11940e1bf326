package org.flamingochute.testsuite.scenario;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.flamingochute.testsuite.knownred.KnownRedExtension;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Executes random scenarios by seed and verifies that all promises hold. The system properties
 * {@code scenario.first-seed} and {@code scenario.seeds} select the first seed and the number of
 * seeds; {@code bin/random-scenarios FIRST COUNT} sets them for longer runs.
 */
@ExtendWith(KnownRedExtension.class)
final class RandomScenarioTest {

  private static final int SEEDS_IN_A_BLOCK = 20;
  private static final long DEFAULT_SEEDS = 200;

  static LongStream blocks() {
    long first = Long.getLong("scenario.first-seed", 1);
    long count = Long.getLong("scenario.seeds", DEFAULT_SEEDS);
    return LongStream.range(0, (count + SEEDS_IN_A_BLOCK - 1) / SEEDS_IN_A_BLOCK)
        .map(block -> first + block * SEEDS_IN_A_BLOCK);
  }

  @ParameterizedTest(name = "seeds from {0}")
  @MethodSource("blocks")
  void keepsAllPromises(long firstSeed) {
    List<String> problems = new ArrayList<>();
    for (long seed = firstSeed; seed < firstSeed + SEEDS_IN_A_BLOCK; seed++) {
      ScenarioDescriptor scenario =
          ScenarioDescriptor.parse("seed " + seed, RandomScenario.text(seed));
      for (String problem : new ScenarioRunner(ScenarioSettings.standard()).problems(scenario)) {
        problems.add("seed " + seed + ": " + problem);
      }
    }
    assertThat(problems, empty());
  }
}
