package org.flamingochute.decision.identity;

/**
 * Identifies a data centre.
 *
 * @param value the text form, between 1 and {@value Identifiers#MAXIMUM_LENGTH} characters
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

  /** Checks the text form. */
  public DataCentreId {
    Identifiers.requireValid("data centre", value);
  }

  @Override
  public int compareTo(DataCentreId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
