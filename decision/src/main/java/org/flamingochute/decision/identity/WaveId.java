package org.flamingochute.decision.identity;

/**
 * Identifies a maintenance wave.
 *
 * @param value the text form, between 1 and {@value Identifiers#MAXIMUM_LENGTH} characters
 */
public record WaveId(String value) implements Comparable<WaveId> {

  /** Checks the text form. */
  public WaveId {
    Identifiers.requireValid("wave", value);
  }

  @Override
  public int compareTo(WaveId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
