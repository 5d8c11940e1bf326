package org.flamingochute.decision.escrow;

import java.util.OptionalInt;

/**
 * The tokens of one team at one member. Guarded by the lock of its {@link LedgerShard}.
 *
 * <p>A token is free, in use by a request, or undecided: debited for the record of an attempt that
 * the fold has not reached. In a suspended epoch nothing is taken; the free tokens become usable
 * again when the epoch closes.
 */
final class HeldTokens {

  private static final int NOTHING_DUE = -1;

  private long epoch;
  private boolean suspended;
  private int free;
  private int inUse;
  private int undecided;

  /** Tokens in use that the member does not hold; they vanish when they come free. */
  private int unbacked;

  /** What is to be stated for the epoch, or {@link #NOTHING_DUE}. */
  private int dueStatement = NOTHING_DUE;

  /** What was stated last in the epoch, or {@link #NOTHING_DUE}. */
  private int lastStatement = NOTHING_DUE;

  long epoch() {
    return epoch;
  }

  boolean isSuspended() {
    return suspended;
  }

  int usable() {
    return suspended ? 0 : free;
  }

  int inUse() {
    return inUse;
  }

  int held() {
    return free + inUse + undecided - unbacked;
  }

  boolean tryTake() {
    if (usable() == 0) {
      return false;
    }
    free--;
    inUse++;
    return true;
  }

  void giveBack() {
    if (inUse == 0) {
      return;
    }
    inUse--;
    if (unbacked > 0) {
      unbacked--;
    } else {
      free++;
    }
  }

  boolean debitForAttempt() {
    if (usable() == 0) {
      return false;
    }
    free--;
    undecided++;
    return true;
  }

  void attemptAccepted(long attemptEpoch) {
    if (attemptEpoch == epoch && undecided > 0) {
      undecided--;
    }
  }

  void attemptRefused(long attemptEpoch) {
    if (attemptEpoch == epoch && undecided > 0) {
      undecided--;
      free++;
    }
  }

  /** Takes up to the wanted number of free tokens away; returns how many. */
  int debit(int wanted) {
    int taken = Math.max(0, Math.min(wanted, usable()));
    free -= taken;
    return taken;
  }

  void credit(long creditEpoch, int tokens) {
    if (creditEpoch == epoch) {
      free += tokens;
    }
  }

  /**
   * Enters a new epoch. Attempts that are undecided carry the old epoch and will be refused.
   *
   * @param isMember whether the member has to state its holding
   */
  void open(long newEpoch, boolean isSuspended, boolean isMember) {
    epoch = newEpoch;
    suspended = isSuspended;
    free += undecided;
    undecided = 0;
    unbacked = 0;
    if (suspended) {
      free = 0;
    }
    dueStatement = isMember ? free + inUse : NOTHING_DUE;
    lastStatement = NOTHING_DUE;
  }

  /** The fold accepted a statement: in a suspended epoch it fixes what is held from now on. */
  void stated(long statedEpoch, int tokens) {
    if (statedEpoch == epoch && suspended) {
      free = Math.max(0, tokens - inUse);
    }
  }

  void close(long closedEpoch) {
    if (closedEpoch == epoch) {
      suspended = false;
      dueStatement = NOTHING_DUE;
    }
  }

  /**
   * Returns what is to be stated now. In a suspended epoch a lower statement is due when the tokens
   * in use have fallen to half of the last one, so that the number of statements is small.
   */
  OptionalInt takeStatement() {
    if (dueStatement != NOTHING_DUE) {
      lastStatement = suspended ? inUse : dueStatement;
      dueStatement = NOTHING_DUE;
      return OptionalInt.of(lastStatement);
    }
    if (suspended && lastStatement > 0 && inUse <= lastStatement / 2) {
      lastStatement = inUse;
      return OptionalInt.of(lastStatement);
    }
    return OptionalInt.empty();
  }

  /**
   * Catches up with a state that was reached without folding the records in between. Whatever is
   * not certain to be held is dropped; the next epoch mints it again.
   *
   * @param newEpoch the epoch in force
   * @param isSuspended whether it is suspended
   * @param isAwaited whether the fold awaits this member's statement for it
   */
  void catchUp(long newEpoch, boolean isSuspended, boolean isAwaited) {
    undecided = 0;
    boolean isSameEpoch = newEpoch == epoch;
    if (suspended || isSuspended || !(isSameEpoch || isAwaited)) {
      free = 0;
    }
    if (!isSameEpoch) {
      unbacked = isAwaited ? 0 : inUse;
      lastStatement = NOTHING_DUE;
    }
    epoch = newEpoch;
    suspended = isSuspended;
    if (!isAwaited) {
      dueStatement = NOTHING_DUE;
    } else if (!isSameEpoch || dueStatement != NOTHING_DUE) {
      dueStatement = isSameEpoch ? dueStatement : free + inUse;
    }
  }

  /** Drops everything that is not in use. */
  void retire() {
    free = 0;
    undecided = 0;
    unbacked = inUse;
    dueStatement = NOTHING_DUE;
    lastStatement = NOTHING_DUE;
  }
}
