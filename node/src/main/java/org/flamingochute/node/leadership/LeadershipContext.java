package org.flamingochute.node.leadership;

/** What a session with a worker needs from the leadership. */
interface LeadershipContext {

  /** Returns the epoch of the term, which is the fencing token of all orders. */
  long epoch();

  /** Returns the lease that renewals ask for, in milliseconds. */
  long leaseMilliseconds();

  /** Tells whether leases may be renewed: not when the store has been silent for long. */
  boolean mayHold();

  /** Something changed that may call for decisions. */
  void changed();

  /** Somebody knows a higher epoch, so the term is over. */
  void fenced(String by);

  /** Tells whether the term has ended. */
  boolean isOver();
}
