package org.flamingochute.decision.identity;

/**
 * Identifies the hardware on which an instance runs; it does not change when the instance restarts.
 *
 * @param value the text form, between 1 and {@value Identifiers#MAXIMUM_LENGTH} characters
 */
public record MachineId(String value) implements Comparable<MachineId> {

  /** Checks the text form. */
  public MachineId {
    Identifiers.requireValid("machine", value);
  }

  @Override
  public int compareTo(MachineId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
