package org.flamingochute.load;

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
class LoadMainTest {

  @TempDir Path folder;

  @ParameterizedTest(name = "{0} with file {1} exits with {2} and prints {3}")
  @CsvSource(
      delimiter = '|',
      value = {
        "--help | '' | 0 | exit codes",
        "'' | '' | 2 | FC-1300",
        "castle | '' | 2 | castle",
        "traffic --wrong | '' | 2 | --wrong",
        "traffic | '' | 2 | --settings",
        "traffic --settings FILE.absent | '' | 2 | FC-1000",
        "traffic --settings FILE --seed x --entries 127.0.0.1:1 | [traffic] | 2 | --seed",
        "traffic --settings FILE --seed -1 --entries 127.0.0.1:1 | [traffic] | 2 | -1",
        "traffic --settings FILE | [traffic] | 2 | --entries",
        "traffic --settings FILE --entries localhost:1 | [traffic] | 2 | localhost:1",
        "traffic --settings FILE --entries 127.0.0.1:1 | [interactive a] | 2 | service",
        "traffic --settings FILE --entries 127.0.0.1:1 | [order a];colour=1 | 2 | colour",
        "traffic --settings FILE --entries 127.0.0.1:1"
            + " | [traffic];duration_milliseconds=1;settle_milliseconds=0 | 0 | load_summary",
        "throughput --entries 127.0.0.1:1 | '' | 2 | --service",
        "throughput --service a | '' | 2 | --entries",
        "summary | '' | 2 | --callers",
        "summary --callers FILE | {\"requests\":\"many\"} | 2 | many",
        "summary --callers FILE --endpoints FILE | {} | 2 | --fleet",
        "summary --callers FILE --endpoints FILE --fleet FILE | {} | 2 | FC-10",
      })
  void invalidInputIsReported(String arguments, String content, int exitCode, String expectedText)
      throws Exception {
    Path file = folder.resolve("input");
    Files.writeString(file, content.replace(';', '\n'));
    String[] words = arguments.isEmpty() ? new String[0] : arguments.split(" ");
    for (int i = 0; i < words.length; i++) {
      words[i] = words[i].replace("FILE", file.toString());
    }
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
    assertThat(LoadMain.run(words, stream, stream), equalTo(exitCode));
    assertThat(output.toString(StandardCharsets.UTF_8), containsString(expectedText));
  }
}
