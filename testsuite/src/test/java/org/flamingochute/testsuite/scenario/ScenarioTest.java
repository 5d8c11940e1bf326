package org.flamingochute.testsuite.scenario;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

import java.util.List;
import org.flamingochute.testsuite.knownred.KnownRedExtension;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Executes every descriptor file; all promises must hold and all expectations must be met. */
@ExtendWith(KnownRedExtension.class)
final class ScenarioTest {

  static List<ScenarioDescriptor> scenarios() {
    return ScenarioFiles.readAll("scenarios");
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("scenarios")
  void keepsAllPromises(ScenarioDescriptor scenario) {
    List<String> problems =
        new ScenarioExecutor(ScenarioSettings.standard()).findProblems(scenario);
    assertThat(problems, empty());
  }
}
