package org.flamingochute.decision.escrow;

import java.util.TreeSet;

/**
 * The numbers of one sender's transfers that were dealt with.
 *
 * <p>All numbers up to {@code contiguous} were, and those in {@code ahead}. Since a sender repeats
 * each transfer until it is acknowledged, gaps close and the set stays as small as the number of
 * transfers under way.
 */
final class ReceivedSequences {

  /** Numbers ahead of a gap that are kept; more are left to be repeated. */
  static final int AHEAD_LIMIT = 10_000;

  private final TreeSet<Long> ahead = new TreeSet<>();
  private long contiguous;

  boolean contains(long sequence) {
    return sequence <= contiguous || ahead.contains(sequence);
  }

  /** Tells whether one more number can be kept. */
  boolean hasRoomFor(long sequence) {
    return sequence == contiguous + 1 || ahead.size() < AHEAD_LIMIT;
  }

  void add(long sequence) {
    ahead.add(sequence);
    while (!ahead.isEmpty() && ahead.first() == contiguous + 1) {
      contiguous = ahead.pollFirst();
    }
  }
}
