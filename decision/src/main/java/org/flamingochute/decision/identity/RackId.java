package org.flamingochute.decision.identity;

/**
 * Identifies a rack, the smallest failure domain of workers and runners.
 *
 * @param value the text form, between 1 and {@value Identifiers#MAXIMUM_LENGTH} characters
 */
public record RackId(String value) implements Comparable<RackId> {

  /** Checks the text form. */
  public RackId {
    Identifiers.requireValid("rack", value);
  }

  @Override
  public int compareTo(RackId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
