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
 * seeds, which is rounded up to whole blocks; {@code bin/random-scenarios FIRST COUNT} sets them
 * for longer runs.
 */
@ExtendWith(KnownRedExtension.class)
final class RandomScenarioTest {

  private static final int SEEDS_PER_BLOCK = 20;
  private static final long DEFAULT_SEED_COUNT = 200;

  static LongStream firstSeeds() {
    long first = Long.getLong("scenario.first-seed", 1);
    long count = Long.getLong("scenario.seeds", DEFAULT_SEED_COUNT);
    return LongStream.range(0, (count + SEEDS_PER_BLOCK - 1) / SEEDS_PER_BLOCK)
        .map(block -> first + block * SEEDS_PER_BLOCK);
  }

  @ParameterizedTest(name = "seeds from {0}")
  @MethodSource("firstSeeds")
  void keepsAllPromises(long firstSeed) {
    List<String> problems = new ArrayList<>();
    for (long seed = firstSeed; seed < firstSeed + SEEDS_PER_BLOCK; seed++) {
      ScenarioDescriptor scenario =
          ScenarioDescriptor.parse("seed " + seed, RandomScenario.generate(seed));
      for (String problem :
          new ScenarioExecutor(ScenarioSettings.standard()).findProblems(scenario)) {
        problems.add("seed " + seed + ": " + problem);
      }
    }
    assertThat(problems, empty());
  }
}
