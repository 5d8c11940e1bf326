package org.flamingochute.node;

/** Makes text from outside fit for a value in a log line: printable, without quotes, and short. */
public final class LogText {
  private static final int MAXIMUM_CHARACTERS = 200;
  private static final char REPLACEMENT = '?';

  private LogText() {}

  /** Returns the beginning of a text, with a replacement for each character that is not printed. */
  public static String of(String text) {
    String value = String.valueOf(text);
    StringBuilder printable = new StringBuilder();
    for (int i = 0; i < value.length() && i < MAXIMUM_CHARACTERS; i++) {
      char character = value.charAt(i);
      boolean isPlain = !Character.isISOControl(character) && character != '"';
      printable.append(isPlain ? character : REPLACEMENT);
    }
    if (value.length() > MAXIMUM_CHARACTERS) {
      printable.append("...");
    }
    return printable.toString();
  }
}
