package org.flamingochute.logging;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class KeyValueFormatterTest {
  private static final String TIME = "time=2026-12-04T05:06:07.089Z ";

  private static LogRecord logRecord(Level level, String message) {
    LogRecord record = new LogRecord(level, message);
    record.setInstant(Instant.parse("2026-12-04T05:06:07.089Z"));
    record.setLoggerName("some.Library");
    return record;
  }

  static Stream<Arguments> messages() {
    return Stream.of(
        arguments(
            Level.INFO, "event=entry_started http=a", "level=info event=entry_started http=a"),
        arguments(
            Level.WARNING,
            "event=x a=1 [CONTEXT ratelimit_period=\"1 SECONDS\" ]",
            "level=warning event=x a=1"),
        arguments(Level.INFO, "event=x a=b\nforged=1", "level=info event=x a=b\\nforged=1"),
        arguments(
            Level.SEVERE,
            "two \"words\"\nand \\ more\t",
            "level=severe event=library_message logger=some.Library"
                + " message=\"two \\\"words\\\"\\nand \\\\ more\\"
                + "u0009\""));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void recordIsFormattedAsOneLine(Level level, String message, String expected) {
    String line = new KeyValueFormatter().format(logRecord(level, message));
    assertThat(line, equalTo(TIME + expected + "\n"));
  }

  @Test
  void exceptionIsAddedToTheLine() {
    LogRecord record = logRecord(Level.SEVERE, "event=x");
    record.setThrown(new IllegalStateException("line\nbreak"));
    String line = new KeyValueFormatter().format(record);
    String expected =
        TIME
            + "level=severe event=x error=java.lang.IllegalStateException"
            + " error_message=\"line\\nbreak\" at=\"";
    assertThat(line, startsWith(expected));
    assertThat(line.indexOf('\n'), equalTo(line.length() - 1));
  }
}
