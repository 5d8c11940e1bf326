package org.flamingochute.scheduling.leadership;

import org.flamingochute.schema.scheduling.LeaderTerm;

/**
 * A process that may lead.
 *
 * @param instance name of its instance
 * @param incarnation number that tells it from other processes of the same instance
 */
public record LeaderCandidate(String instance, long incarnation) {
  private static final String SEPARATOR = "/";

  /** Returns the name under which this process holds a term. */
  public String holderName() {
    return instance + SEPARATOR + incarnation;
  }

  /** Tells whether a term is this process's own. */
  public boolean holds(LeaderTerm term) {
    return term.getInstance().equals(holderName());
  }

  /**
   * Tells whether a term is that of a process of this instance: of this one, or of an ended one.
   */
  public boolean isOfInstance(LeaderTerm term) {
    return term.getInstance().startsWith(instance + SEPARATOR);
  }
}
