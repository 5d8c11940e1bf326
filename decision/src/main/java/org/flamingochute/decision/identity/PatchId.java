package org.flamingochute.decision.identity;

/**
 * Identifies a patch; a second patch with the same id is treated as a copy of the first.
 *
 * @param value the text form, between 1 and {@value Identifiers#MAXIMUM_LENGTH} characters
 */
public record PatchId(String value) implements Comparable<PatchId> {

  /** Checks the text form. */
  public PatchId {
    Identifiers.requireValid("patch", value);
  }

  @Override
  public int compareTo(PatchId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
