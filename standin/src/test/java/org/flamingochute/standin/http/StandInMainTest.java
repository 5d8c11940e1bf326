package org.flamingochute.standin.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that invalid input is reported with its exit code and the offending value. */
class StandInMainTest {

  @TempDir Path folder;

  @ParameterizedTest(name = "{0} with settings {1} exits with {2} and prints {3}")
  @CsvSource(
      delimiter = '|',
      value = {
        "--help | '' | 0 | usage",
        "'' | '' | 2 | FC-1300",
        "platform | '' | 2 | FC-1300",
        "platform --wrong | '' | 2 | --wrong",
        "castle --settings FILE | '' | 2 | castle",
        "platform --settings FILE.absent | '' | 2 | FC-1000",
        "platform --check --settings FILE | [platform] | 0 | ''",
        "platform --settings FILE | [platform];list_lag=3 | 2 | list_lag",
        "platform --settings FILE | [platform];retained_records=1 | 2 | retained_records",
        "platform --settings FILE | [platform];address=localhost:1 | 2 | localhost:1",
        "platform --settings FILE | [platform];address=999.0.0.1:0 | 1 | 999.0.0.1:0",
        "endpoints --settings FILE | [endpoints] | 2 | platform_address",
        "endpoints --settings FILE"
            + " | [endpoints];platform_address=127.0.0.1:1;runner_pools=a | 2 | runner_pools",
        "endpoints --settings FILE"
            + " | [endpoints];platform_address=127.0.0.1:1;runner_pools=a:1 | 1 | 127.0.0.1:1",
      })
  void invalidInputIsReported(String arguments, String settings, int exitCode, String expectedText)
      throws Exception {
    Path file = folder.resolve("settings.ini");
    Files.writeString(file, settings.replace(';', '\n'));
    String[] words = arguments.isEmpty() ? new String[0] : arguments.split(" ");
    for (int i = 0; i < words.length; i++) {
      words[i] = words[i].replace("FILE", file.toString());
    }
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
    assertThat(StandInMain.run(words, stream, stream), equalTo(exitCode));
    assertThat(output.toString(StandardCharsets.UTF_8), containsString(expectedText));
  }
}
