package org.flamingochute.decision.identity;

/**
 * Identifies a team that submits work.
 *
 * @param value the text form, between 1 and {@value Identifiers#MAXIMUM_LENGTH} characters
 */
public record TeamId(String value) implements Comparable<TeamId> {

  /** Checks the text form. */
  public TeamId {
    Identifiers.requireValid("team", value);
  }

  @Override
  public int compareTo(TeamId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
