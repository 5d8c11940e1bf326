package org.flamingochute.decision.identity;

/**
 * Identifies one planned stop of an instance, from its request to its last step.
 *
 * @param value the text form, between 1 and {@value Identifiers#MAXIMUM_LENGTH} characters
 */
public record OperationId(String value) implements Comparable<OperationId> {

  /** Checks the text form. */
  public OperationId {
    Identifiers.requireValid("operation", value);
  }

  @Override
  public int compareTo(OperationId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
