package org.flamingochute.decision.identity;

/**
 * Identifies one start of a process on an instance; a restart gets a new one.
 *
 * @param value the text form, between 1 and {@value Identifiers#MAXIMUM_LENGTH} characters
 */
public record Incarnation(String value) implements Comparable<Incarnation> {

  /** Checks the text form. */
  public Incarnation {
    Identifiers.requireValid("incarnation", value);
  }

  @Override
  public int compareTo(Incarnation other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
