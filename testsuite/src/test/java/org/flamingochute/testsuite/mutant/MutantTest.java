package org.flamingochute.testsuite.mutant;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;

import java.util.ArrayList;
import java.util.List;
import net.bytebuddy.agent.ByteBuddyAgent;
import org.flamingochute.testsuite.scenario.ScenarioDescriptor;
import org.flamingochute.testsuite.scenario.ScenarioExecutor;
import org.flamingochute.testsuite.scenario.ScenarioFiles;
import org.flamingochute.testsuite.scenario.ScenarioSettings;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;

/**
 * Verifies that the scenarios detect faults in the system. Each row of mutants.csv disables one or
 * more mechanisms, and its scenario must then report the promise of the row as broken. Before that,
 * with all mechanisms enabled, the scenario must report no problem.
 */
final class MutantTest {

  @BeforeAll
  static void installAgent() {
    ByteBuddyAgent.install();
  }

  @ParameterizedTest(name = "{0}: {1}")
  @CsvFileSource(resources = "/mutants.csv", delimiter = '|', numLinesToSkip = 1)
  void scenarioDetectsMutant(String promise, String mutations, String scenarioName) {
    ScenarioDescriptor scenario = ScenarioFiles.readOne("scenarios", scenarioName);
    assertThat(findProblems(scenario), empty());
    List<Mutation> applied = new ArrayList<>();
    try {
      for (String text : mutations.split(";")) {
        Mutation mutation = Mutation.parse(text);
        mutation.apply();
        applied.add(mutation);
      }
      assertThat(findProblems(scenario), hasItem(containsString(promise)));
    } finally {
      applied.forEach(Mutation::revert);
    }
  }

  private static List<String> findProblems(ScenarioDescriptor scenario) {
    return new ScenarioExecutor(ScenarioSettings.standard()).findProblems(scenario);
  }
}
