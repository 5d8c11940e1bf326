package org.flamingochute.decision.escrow;

import java.util.TreeSet;

/**
 * The sequence numbers of the transfers from one sender that were already handled.
 *
 * <p>These are all numbers up to {@code lastContiguous}, and those in {@code outOfOrder}. Since a
 * sender repeats each transfer until it is acknowledged, gaps close and the set stays as small as
 * the number of transfers in flight.
 */
final class ReceivedSequences {

  /**
   * Maximum number of sequence numbers stored after a gap. A transfer beyond that is not
   * acknowledged, so the sender repeats it.
   */
  static final int OUT_OF_ORDER_LIMIT = 10_000;

  private final TreeSet<Long> outOfOrder = new TreeSet<>();
  private long lastContiguous;

  boolean contains(long sequence) {
    return sequence <= lastContiguous || outOfOrder.contains(sequence);
  }

  /** Returns whether the given number can be stored. */
  boolean canAdd(long sequence) {
    return sequence == lastContiguous + 1 || outOfOrder.size() < OUT_OF_ORDER_LIMIT;
  }

  void add(long sequence) {
    outOfOrder.add(sequence);
    while (!outOfOrder.isEmpty() && outOfOrder.first() == lastContiguous + 1) {
      lastContiguous = outOfOrder.pollFirst();
    }
  }
}
