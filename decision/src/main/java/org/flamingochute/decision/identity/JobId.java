package org.flamingochute.decision.identity;

/**
 * Identifies a job.
 *
 * @param value the text form, between 1 and {@value Identifiers#MAXIMUM_LENGTH} characters
 */
public record JobId(String value) implements Comparable<JobId> {

  /** Checks the text form. */
  public JobId {
    Identifiers.requireValid("job", value);
  }

  @Override
  public int compareTo(JobId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
