package org.flamingochute.decision.identity;

/**
 * Identifies a log record; further copies with the same id have no effect.
 *
 * @param value the text form, between 1 and {@value Identifiers#MAXIMUM_LENGTH} characters
 */
public record RecordId(String value) implements Comparable<RecordId> {

  /** Checks the text form. */
  public RecordId {
    Identifiers.requireValid("record", value);
  }

  @Override
  public int compareTo(RecordId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
