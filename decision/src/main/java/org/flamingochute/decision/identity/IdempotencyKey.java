package org.flamingochute.decision.identity;

/**
 * Identifies a request that must not run again when it is repeated.
 *
 * @param value the text form, between 1 and {@value Identifiers#MAXIMUM_LENGTH} characters
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {

  /** Checks the text form. */
  public IdempotencyKey {
    Identifiers.requireValid("idempotency key", value);
  }

  @Override
  public int compareTo(IdempotencyKey other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
