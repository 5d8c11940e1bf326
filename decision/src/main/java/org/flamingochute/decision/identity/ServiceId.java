package org.flamingochute.decision.identity;

/**
 * Identifies a service that a pool of runners serves.
 *
 * @param value the text form, between 1 and {@value Identifiers#MAXIMUM_LENGTH} characters
 */
public record ServiceId(String value) implements Comparable<ServiceId> {

  /** Checks the text form. */
  public ServiceId {
    Identifiers.requireValid("service", value);
  }

  @Override
  public int compareTo(ServiceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
