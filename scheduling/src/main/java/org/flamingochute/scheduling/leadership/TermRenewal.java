package org.flamingochute.scheduling.leadership;

import org.flamingochute.schema.scheduling.LeaderTerm;

/**
 * The records by which a leader renews its term.
 *
 * <p>Any record of the leader renews its term, so while it records progress all the time it writes
 * no terms. One must be written nevertheless when the leases of earlier leaders have expired: a
 * successor that reads that they may still be in force waits for them, and commands no machine that
 * this leader may have commanded.
 */
public final class TermRenewal {
  private final LeaderTerm term;
  private final long earlierLeasesExpireAt;
  private long renewalNumber;
  private boolean recordedEarlierLeases;

  /**
   * Creates the renewals of a term.
   *
   * @param term the term as it was claimed
   * @param earlierLeasesExpireAt time at which all leases that earlier leaders granted have
   *     certainly expired
   */
  public TermRenewal(LeaderTerm term, long earlierLeasesExpireAt) {
    this.term = term;
    this.earlierLeasesExpireAt = earlierLeasesExpireAt;
    this.renewalNumber = term.getRenewal();
    this.recordedEarlierLeases = term.getEarlierLeases();
  }

  /** Returns whether the newest recorded term mentions earlier leases that have expired. */
  public boolean mustRecordLeaseExpiry(long now) {
    return recordedEarlierLeases && now >= earlierLeasesExpireAt;
  }

  /** Returns the next record of the term. */
  public LeaderTerm.Builder next(long now) {
    recordedEarlierLeases = term.getEarlierLeases() && now < earlierLeasesExpireAt;
    renewalNumber++;
    return term.toBuilder().setRenewal(renewalNumber).setEarlierLeases(recordedEarlierLeases);
  }
}
