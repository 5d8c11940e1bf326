package org.flamingochute.decision.identity;

/**
 * Identifies the hardware under an instance, which keeps its id when the instance starts anew.
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
