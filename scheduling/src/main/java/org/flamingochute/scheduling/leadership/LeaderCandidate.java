package org.flamingochute.scheduling.leadership;

import org.flamingochute.schema.scheduling.LeaderTerm;

/**
 * A process that can become the leader.
 *
 * @param instance name of its instance
 * @param incarnation number that distinguishes the process from others of the same instance
 */
public record LeaderCandidate(String instance, long incarnation) {
  private static final String SEPARATOR = "/";

  /** Returns the holder name of this process's terms. */
  public String holderName() {
    return instance + SEPARATOR + incarnation;
  }

  /** Returns whether this process is or was the leader of a term. */
  public boolean isLeaderOf(LeaderTerm term) {
    return term.getInstance().equals(holderName());
  }

  /**
   * Returns whether a term is held by a process of this instance: this one, or one that has ended.
   */
  public boolean isOfInstance(LeaderTerm term) {
    return term.getInstance().startsWith(instance + SEPARATOR);
  }
}
