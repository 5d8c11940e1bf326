package org.flamingochute.decision.identity;

/**
 * Identifies a key of a team; this is its name, not the secret.
 *
 * @param value the text form, between 1 and {@value Identifiers#MAXIMUM_LENGTH} characters
 */
public record KeyId(String value) implements Comparable<KeyId> {

  /** Checks the text form. */
  public KeyId {
    Identifiers.requireValid("key", value);
  }

  @Override
  public int compareTo(KeyId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
