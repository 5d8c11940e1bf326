package org.flamingochute.scheduling.scenario;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Executes every file in the folder scenarios. */
class ScenarioTest {

  static Stream<Path> files() throws IOException, URISyntaxException {
    Path folder = Path.of(ScenarioTest.class.getResource("/scenarios").toURI());
    try (Stream<Path> listed = Files.list(folder)) {
      return listed.sorted().toList().stream();
    }
  }

  @ParameterizedTest
  @MethodSource("files")
  void scenarioMeetsItsExpectations(Path file) throws IOException {
    ScenarioExecutor executor = new ScenarioExecutor();
    List<String> lines = Files.readAllLines(file);
    for (int i = 0; i < lines.size(); i++) {
      String line = lines.get(i).strip();
      if (line.isEmpty() || line.startsWith("#")) {
        continue;
      }
      try {
        executor.execute(new ScenarioLine(line));
      } catch (AssertionError | IllegalArgumentException e) {
        throw new AssertionError(
            file.getFileName() + " line " + (i + 1) + ": " + e.getMessage(), e);
      }
    }
  }
}
