package org.flamingochute.decision.identity;

/** Validates the text form of identifiers. */
public final class Identifiers {

  /** Maximum length of an identifier, in characters. */
  public static final int MAXIMUM_LENGTH = 200;

  private Identifiers() {}

  /**
   * Checks that a value is a valid identifier.
   *
   * @param label the kind of identifier, for the message
   * @param value the text form
   * @throws IllegalArgumentException when the value is empty, too long or contains a control
   *     character
   */
  static void requireValid(String label, String value) {
    if (!isValid(value)) {
      throw new IllegalArgumentException("invalid " + label + " identifier: \"" + value + "\"");
    }
  }

  /** Returns whether a value is a valid identifier. */
  public static boolean isValid(String value) {
    if (value == null || value.isEmpty() || value.length() > MAXIMUM_LENGTH) {
      return false;
    }
    for (int i = 0; i < value.length(); i++) {
      if (Character.isISOControl(value.charAt(i))) {
        return false;
      }
    }
    return true;
  }
}
