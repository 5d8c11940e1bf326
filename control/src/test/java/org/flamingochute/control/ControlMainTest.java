package org.flamingochute.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that invalid input is reported with its exit code and the offending value. */
class ControlMainTest {

  @ParameterizedTest(name = "{0} with key \"{1}\" exits with {2} and prints {3}")
  @CsvSource(
      delimiter = '|',
      value = {
        "--help | '' | 0 | exit codes",
        "'' | '' | 2 | a command is required",
        "dance | '' | 2 | dance",
        "show --colour | '' | 2 | --colour",
        "show | k | 2 | --entry",
        "show --entry localhost:80 --operator ana | k | 2 | localhost:80",
        "show --entry 127.0.0.1:99999 --operator ana | k | 2 | 127.0.0.1:99999",
        "show --entry 127.0.0.1:1 | k | 2 | --operator",
        "show --entry 127.0.0.1:1 --operator ana | '' | 2 | FLAMINGOCHUTE_OPERATOR_KEY",
        "show --entry 127.0.0.1:1 --operator ana --key-file /nowhere/key | '' | 2 | /nowhere/key",
        "show --entry 127.0.0.1:1 --operator ana | k | 6 | 127.0.0.1:1",
        "status --entry 127.0.0.1:1 --entry 127.0.0.1:2 --operator ana | k | 6 | 127.0.0.1:2",
        "withdraw x --entry 127.0.0.1:1 --operator ana | k | 6 | FC-1409",
        "validate /nowhere/fleet.ini | '' | 2 | /nowhere/fleet.ini",
      })
  void invalidInputIsReported(String arguments, String key, int exitCode, String expectedText) {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
    String[] words = arguments.isEmpty() ? new String[0] : arguments.split(" ");
    Map<String, String> environment = Map.of(ControlMain.OPERATOR_KEY_VARIABLE, key);
    assertThat(ControlMain.run(words, environment, stream, stream), equalTo(exitCode));
    assertThat(output.toString(StandardCharsets.UTF_8), containsString(expectedText));
  }
}
