package org.flamingochute.node.program;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs the node's main class, whose exit codes the operators' scripts rely on. */
class DeclarationCheckCommandTest {
  private static final String VALID =
      """
      {"version":7,"routes":[{"name":"q","host":"h.example","path_prefix":"/q/","service":"p",
      "timeout_ms":3000,"slo_ms":600,"max_attempts":3,"slack_factor":2}],
      "services":[{"name":"p"},{"name":"s","standby":true}],
      "tenants":[{"name":"t","api_keys":["k"],"weight":1}]}
      """;

  @TempDir private Path folder;

  /** Result of a command. */
  private record Result(int exitCode, List<String> lines) {}

  @BeforeEach
  void writeDeclarations() throws IOException {
    String next = VALID.replace("\"version\":7", "\"version\":8");
    Files.writeString(folder.resolve("valid"), VALID);
    Files.writeString(folder.resolve("next"), next);
    Files.writeString(folder.resolve("warning"), next.replace("3000", "0"));
    Files.writeString(
        folder.resolve("all"),
        next.replace("3000", "0").replace("600", "700").replace("\"p\",", "\"none\","));
    Files.writeString(folder.resolve("broken"), VALID.substring(1));
  }

  private Result run(String commandLine) throws IOException, InterruptedException {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                NodeMain.class.getName()));
    command.addAll(List.of(commandLine.split(" ")));
    Process process =
        new ProcessBuilder(command).directory(folder.toFile()).redirectErrorStream(true).start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    return new Result(process.waitFor(), output.lines().toList());
  }

  @ParameterizedTest
  @CsvSource({
    "--check-declaration valid, 0",
    "--check-declaration next --in-force valid, 0",
    "--check-declaration warning, 1",
    "--check-declaration warning --in-force next, 2",
    "--check-declaration warning --in-force valid, 1",
    "--check-declaration all, 2",
    "--check-declaration broken, 2",
    "--check-declaration valid --in-force broken, 2",
    "--check-declaration, 2",
    "--in-force valid, 2",
    "--check-declaration valid --settings valid, 2",
    "--check-declaration valid --check, 2",
    "--check-declaration valid next, 2",
    "--check-declaration missing, 3",
    "--check-declaration valid --in-force missing, 3",
  })
  void exitCodeTellsTheResult(String commandLine, int exitCode) throws Exception {
    assertThat(run(commandLine).exitCode(), is(exitCode));
  }

  /** An operator who reads the first lines only must not miss an error behind differences. */
  @Test
  void findingsAreSortedBySeverity() throws Exception {
    assertThat(
        run("--check-declaration all --in-force valid").lines(),
        contains(
            startsWith("error queue q: service=\"none\": "),
            startsWith("warning queue q: timeout_ms=0: "),
            startsWith("warning pool p: name=\"p\": "),
            startsWith("difference queue q: service=\"none\": was \"p\""),
            startsWith("difference queue q: timeout_ms=0: was 3000"),
            startsWith("difference queue q: slo_ms=700: was 600")));
  }

  @ParameterizedTest
  @CsvSource({
    "--check-declaration missing, missing: cannot be read",
    "--check-declaration valid --in-force broken, broken: error declaration: not JSON",
    "--in-force valid, --in-force requires --check-declaration",
  })
  void errorNamesFileOrOption(String commandLine, String expected) throws Exception {
    assertThat(run(commandLine).lines(), contains(containsString(expected)));
  }
}
