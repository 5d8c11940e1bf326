package org.flamingochute.decision.identity;

/**
 * Identifies an instance: an entry, a runner or a worker.
 *
 * @param value the text form, between 1 and {@value Identifiers#MAXIMUM_LENGTH} characters
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

  /** Checks the text form. */
  public InstanceId {
    Identifiers.requireValid("instance", value);
  }

  @Override
  public int compareTo(InstanceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
