package org.flamingochute.decision.identity;

/**
 * Identifies an operator.
 *
 * @param value the text form, between 1 and {@value Identifiers#MAXIMUM_LENGTH} characters
 */
public record OperatorId(String value) implements Comparable<OperatorId> {

  /** Checks the text form. */
  public OperatorId {
    Identifiers.requireValid("operator", value);
  }

  @Override
  public int compareTo(OperatorId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
