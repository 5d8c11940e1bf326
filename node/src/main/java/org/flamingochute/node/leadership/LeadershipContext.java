package org.flamingochute.node.leadership;

import org.flamingochute.scheduling.core.SchedulerCommand;

/** The current term of the leadership, for the senders of commands. */
interface LeadershipContext {

  /**
   * Marks a start as sent, directly before it is written.
   *
   * @return false if the run is not wanted any more, so that the start must not be sent
   */
  boolean beginStart(SchedulerCommand.StartTask start);

  /** Returns the epoch of the term, which is the fencing token of all commands. */
  long epoch();

  /** Returns the duration of the leases that renewals grant, in milliseconds. */
  long leaseMilliseconds();

  /**
   * Returns whether leases may be granted and renewed: the term has not ended, and the last
   * successful append is recent enough.
   */
  boolean canRenewLeases();

  /**
   * Returns whether runs may be started: the term has not ended, and the last successful append is
   * so recent that no other leader is likely to have taken over.
   */
  boolean canStartRuns();

  /**
   * Returns whether machines may be moved or maintained: the term has not ended, and the last
   * successful append is so recent that no successor sends such commands yet.
   */
  boolean canCommandMachines();

  /** Called when a change may require new decisions. */
  void onChanged();

  /**
   * Called when a higher epoch was observed, so that this term has ended.
   *
   * @param by what reported the higher epoch, for the log
   */
  void onFenced(String by);

  /** Returns whether the term has ended. */
  boolean isTermOver();
}
