package org.flamingochute.logging;

import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import java.util.regex.Pattern;
import org.flamingochute.decision.misc.LogText;

/**
 * Formats each log record as one line: {@code time=... level=... event=... key=value ...}.
 *
 * <p>Messages of this system start with {@code event=}. Any other message counts as one of a
 * library and is wrapped in the event {@code library_message}. For an exception, its class, message
 * and top stack frame are added.
 */
public final class KeyValueFormatter extends Formatter {
  private static final DateTimeFormatter TIME =
      DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);

  /** Metadata that Flogger appends to rate-limited messages. */
  private static final Pattern FLOGGER_CONTEXT = Pattern.compile(" \\[CONTEXT [^\\]]*\\]$");

  private static final String EVENT = "event=";

  @Override
  public String format(LogRecord record) {
    StringBuilder line = new StringBuilder();
    line.append("time=").append(TIME.format(record.getInstant()));
    line.append(" level=").append(record.getLevel().getName().toLowerCase(Locale.ROOT));
    line.append(' ').append(bodyOf(record));
    if (record.getThrown() != null) {
      appendError(line, record.getThrown());
    }
    return line.append('\n').toString();
  }

  private String bodyOf(LogRecord record) {
    String message = FLOGGER_CONTEXT.matcher(formatMessage(record)).replaceFirst("");
    if (!message.startsWith(EVENT)) {
      return "event=library_message logger="
          + record.getLoggerName()
          + " message="
          + LogText.quoted(message);
    }
    return message.replace("\n", "\\n").replace("\r", "\\r");
  }

  private static void appendError(StringBuilder line, Throwable error) {
    line.append(" error=").append(error.getClass().getName());
    line.append(" error_message=").append(LogText.quoted(error.getMessage()));
    StackTraceElement[] trace = error.getStackTrace();
    if (trace.length > 0) {
      line.append(" at=").append(LogText.quoted(trace[0].toString()));
    }
  }
}
