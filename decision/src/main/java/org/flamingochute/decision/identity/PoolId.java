package org.flamingochute.decision.identity;

/**
 * Identifies a pool of instances.
 *
 * @param value the text form, between 1 and {@value Identifiers#MAXIMUM_LENGTH} characters
 */
public record PoolId(String value) implements Comparable<PoolId> {

  /** Checks the text form. */
  public PoolId {
    Identifiers.requireValid("pool", value);
  }

  @Override
  public int compareTo(PoolId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
