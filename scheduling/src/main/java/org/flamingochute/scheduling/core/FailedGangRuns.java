package org.flamingochute.scheduling.core;

import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The runs of a gang that have failed.
 *
 * <p>A gang runs as a whole: its members share the attempt number, and when one fails the others
 * end with it, as failed too or in another way. So a run has failed once, however many of its
 * members have, and which runs have failed must be known to count them: the ends of a run are
 * listed one by one, some of them late or again, also to a later leader. The set has at most as
 * many numbers as the queue allows failed runs, since the job ends with the last of them.
 */
final class FailedGangRuns {
  private final SortedSet<Integer> attempts = new TreeSet<>();

  /** Notes that a member failed in a run; the other members may have been noted before. */
  void add(int attempt) {
    attempts.add(attempt);
  }

  /** Returns whether the run with an attempt number has failed. */
  boolean contains(int attempt) {
    return attempts.contains(attempt);
  }

  /** Returns the number of failed runs. */
  int count() {
    return attempts.size();
  }

  /** Returns the attempt numbers of the failed runs, in ascending order. */
  List<Integer> attempts() {
    return List.copyOf(attempts);
  }

  /**
   * Restores the failed runs from a record that has only the number of failures of each member.
   * Which runs these were is not recorded; they are taken to be the last ones, which is so unless a
   * run ended in another way.
   */
  void restoreFromMembers(Task[] members) {
    for (Task member : members) {
      int lastEnded = member.isAssigned() ? member.attempt - 1 : member.attempt;
      int first = Math.max(1, lastEnded - member.failures + 1);
      for (int attempt = first; attempt <= lastEnded; attempt++) {
        attempts.add(attempt);
      }
    }
  }
}
