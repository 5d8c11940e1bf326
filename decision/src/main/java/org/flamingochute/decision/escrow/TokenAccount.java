package org.flamingochute.decision.escrow;

import java.util.OptionalInt;

/**
 * The tokens of one team at one member. Guarded by the lock of its {@link LedgerShard}.
 *
 * <p>A token is free, in use by a request, or pending: debited for the record of an attempt that
 * has not been applied yet. In a suspended epoch no token can be acquired or debited. Its opening
 * drops the free tokens; those that are released after the last accepted statement was made become
 * usable when the epoch closes.
 */
final class TokenAccount {

  private static final int NO_STATEMENT = -1;

  private long epoch;
  private boolean suspended;
  private int free;
  private int inUse;
  private int pendingAttempts;

  /** Tokens in use that the member no longer holds; they are dropped when released. */
  private int unbackedInUse;

  /** Number of tokens to state for the epoch, or {@link #NO_STATEMENT}. */
  private int dueStatement = NO_STATEMENT;

  /** Number of tokens last stated in the epoch, or {@link #NO_STATEMENT}. */
  private int lastStatement = NO_STATEMENT;

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
    return free + inUse + pendingAttempts - unbackedInUse;
  }

  boolean tryAcquire() {
    if (usable() == 0) {
      return false;
    }
    free--;
    inUse++;
    return true;
  }

  void release() {
    if (inUse == 0) {
      return;
    }
    inUse--;
    if (unbackedInUse > 0) {
      unbackedInUse--;
    } else {
      free++;
    }
  }

  boolean debitForAttempt() {
    if (usable() == 0) {
      return false;
    }
    free--;
    pendingAttempts++;
    return true;
  }

  void confirmAttempt(long attemptEpoch) {
    if (attemptEpoch == epoch && pendingAttempts > 0) {
      pendingAttempts--;
    }
  }

  void refundAttempt(long attemptEpoch) {
    if (attemptEpoch == epoch && pendingAttempts > 0) {
      pendingAttempts--;
      free++;
    }
  }

  /** Debits up to the wanted number of free tokens; returns the number debited. */
  int debit(int wanted) {
    int debited = Math.max(0, Math.min(wanted, usable()));
    free -= debited;
    return debited;
  }

  void credit(long creditEpoch, int tokens) {
    if (creditEpoch == epoch) {
      free += tokens;
    }
  }

  /**
   * Opens a new epoch. The records of pending attempts carry the old epoch and will be refused, so
   * their tokens become free.
   *
   * @param isMember whether this process is a member and must state its holding
   */
  void openEpoch(long newEpoch, boolean isSuspended, boolean isMember) {
    epoch = newEpoch;
    suspended = isSuspended;
    free += pendingAttempts;
    pendingAttempts = 0;
    unbackedInUse = 0;
    if (suspended) {
      free = 0;
    }
    dueStatement = isMember ? free + inUse : NO_STATEMENT;
    lastStatement = NO_STATEMENT;
  }

  /** Handles an accepted statement: in a suspended epoch it determines the tokens held. */
  void acceptStatement(long statedEpoch, int tokens) {
    if (statedEpoch == epoch && suspended) {
      free = Math.max(0, tokens - inUse);
    }
  }

  void closeEpoch(long closedEpoch) {
    if (closedEpoch == epoch) {
      suspended = false;
      dueStatement = NO_STATEMENT;
    }
  }

  /**
   * Returns the number of tokens to state now, if a statement is due. In a suspended epoch a lower
   * statement is due once the tokens in use have fallen to half of the last statement, which keeps
   * the number of statements small.
   */
  OptionalInt pollStatement() {
    if (dueStatement != NO_STATEMENT) {
      lastStatement = suspended ? inUse : dueStatement;
      dueStatement = NO_STATEMENT;
      return OptionalInt.of(lastStatement);
    }
    if (suspended && lastStatement > 0 && inUse <= lastStatement / 2) {
      lastStatement = inUse;
      return OptionalInt.of(lastStatement);
    }
    return OptionalInt.empty();
  }

  /**
   * Adjusts to a state that was loaded from an image, without applying the records in between.
   * Tokens that are not certain to be held are dropped; the next epoch issues them again.
   *
   * @param newEpoch the current epoch
   * @param isSuspended whether the epoch is suspended
   * @param isAwaited whether this member's statement for the epoch is outstanding
   */
  void synchronizeWithEpoch(long newEpoch, boolean isSuspended, boolean isAwaited) {
    pendingAttempts = 0;
    boolean isSameEpoch = newEpoch == epoch;
    if (suspended || isSuspended || !(isSameEpoch || isAwaited)) {
      free = 0;
    }
    if (!isSameEpoch) {
      unbackedInUse = isAwaited ? 0 : inUse;
      lastStatement = NO_STATEMENT;
    }
    epoch = newEpoch;
    suspended = isSuspended;
    if (!isAwaited) {
      dueStatement = NO_STATEMENT;
    } else if (!isSameEpoch || dueStatement != NO_STATEMENT) {
      dueStatement = isSameEpoch ? dueStatement : free + inUse;
    }
  }

  /** Drops all tokens that are not in use; those in use are dropped when released. */
  void retire() {
    free = 0;
    pendingAttempts = 0;
    unbackedInUse = inUse;
    dueStatement = NO_STATEMENT;
    lastStatement = NO_STATEMENT;
  }
}
