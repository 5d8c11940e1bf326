package org.flamingochute.node.office;

/** What a session with a worker needs from the office. */
interface OfficeContext {

  /** Returns the epoch of the tenure, which is the fencing token of all orders. */
  long epoch();

  /** Returns the lease that renewals ask for, in milliseconds. */
  long leaseMilliseconds();

  /** Tells whether leases may be renewed: not when the store has been silent for long. */
  boolean mayHold();

  /** Something changed that may call for decisions. */
  void changed();

  /** Somebody knows a higher epoch, so the tenure is over. */
  void fenced(String by);
}
