package org.flamingochute.entry.log;

/** Writes texts into log lines so that a line stays one line and its pairs stay separate. */
public final class LogText {
  private LogText() {}

  /** Returns a text in double quotes, with quotes, backslashes and control characters escaped. */
  public static String quoted(String text) {
    String value = text == null ? "" : text;
    StringBuilder builder = new StringBuilder(value.length() + 2);
    builder.append('"');
    for (int i = 0; i < value.length(); i++) {
      appendEscaped(builder, value.charAt(i));
    }
    return builder.append('"').toString();
  }

  private static void appendEscaped(StringBuilder builder, char character) {
    if (character == '"' || character == '\\') {
      builder.append('\\').append(character);
    } else if (character == '\n') {
      builder.append("\\n");
    } else if (Character.isISOControl(character)) {
      builder.append(String.format("\\u%04x", (int) character));
    } else {
      builder.append(character);
    }
  }
}
