package org.flamingochute.decision.identity;

/**
 * Identifies a queue of jobs.
 *
 * @param value the text form, between 1 and {@value Identifiers#MAXIMUM_LENGTH} characters
 */
public record QueueId(String value) implements Comparable<QueueId> {

  /** Checks the text form. */
  public QueueId {
    Identifiers.requireValid("queue", value);
  }

  @Override
  public int compareTo(QueueId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
