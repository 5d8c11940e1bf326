package org.flamingochute.decision.misc;

/**
 * Quotes values for log lines, so that each line remains a sequence of separable key-value pairs.
 */
public final class LogText {
  private LogText() {}

  /**
   * Returns the text of a value in double quotes, with quotes, backslashes and control characters
   * escaped.
   */
  public static String quoted(Object text) {
    String value = text == null ? "" : text.toString();
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
