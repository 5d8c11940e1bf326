package org.flamingochute.scheduling.leadership;

import org.flamingochute.scheduling.core.PredecessorState;
import org.flamingochute.schema.scheduling.LeaderTerm;

/**
 * Determines from the records of the store whether the leadership may be claimed.
 *
 * <p>The leader renews its term more often than the timeout. A candidate measures the time since
 * the last renewal that it read, and only while its reads of the store succeed, so that a candidate
 * that is cut off from the store never considers the leader lost. A wrong result does no harm: a
 * claim is an append on the condition that nothing was appended since the candidate's last read, so
 * a renewal that the candidate has not read makes its claim fail.
 *
 * <p>The predecessor is the last leader other than the candidate itself. The candidate may read its
 * own term before its claim is answered; that term must not be mistaken for one of a process that
 * has ended.
 */
public final class LeaderMonitor {
  /** Time without a renewal after which the leader is considered lost. */
  public static final long RENEWAL_TIMEOUT_MILLISECONDS = 1_200;

  /** Maximum age of the last successful read up to which the time without a renewal counts. */
  private static final long MAXIMUM_READ_AGE_MILLISECONDS = 1_200;

  private final long claimDelayMilliseconds;
  private final LeaderCandidate candidate;
  private LeaderTerm newestTerm = LeaderTerm.getDefaultInstance();
  private long renewedAt;
  private LeaderTerm predecessorTerm = LeaderTerm.getDefaultInstance();
  private long predecessorLastRecordAt;
  private long lastReadAt = Long.MIN_VALUE / 2;
  private long readingSince;

  /**
   * Creates a monitor.
   *
   * @param claimDelayMilliseconds delay of this candidate's claims; differs between candidates so
   *     that one of them usually claims first
   * @param candidate this process
   */
  public LeaderMonitor(long claimDelayMilliseconds, LeaderCandidate candidate) {
    this.claimDelayMilliseconds = claimDelayMilliseconds;
    this.candidate = candidate;
  }

  /** Applies a record of a term; terms older than the newest one are ignored. */
  public void observe(LeaderTerm term, long now) {
    if (term.getEpoch() < newestTerm.getEpoch()) {
      return;
    }
    newestTerm = term;
    onLeaderRecord(now);
  }

  /** Records that the leader has written any record, which counts as a renewal. */
  public void onLeaderRecord(long now) {
    renewedAt = now;
    if (!candidate.isLeaderOf(newestTerm)) {
      predecessorTerm = newestTerm;
      predecessorLastRecordAt = now;
    }
  }

  /**
   * Applies that the leader seems to have appended nothing since the given time, although its
   * records have been read only now. That is not known for certain, so it has no effect on the time
   * of the predecessor's last record.
   */
  public void onLeaderSilentSince(long time) {
    renewedAt = Math.min(renewedAt, time);
  }

  /** Records that a read has reached the end of the topic, and that its records were applied. */
  public void onReadSucceeded(long now) {
    if (now - lastReadAt > MAXIMUM_READ_AGE_MILLISECONDS) {
      readingSince = now;
    }
    lastReadAt = now;
  }

  /** Returns the newest term; its epoch is 0 if there was none. */
  public LeaderTerm newestTerm() {
    return newestTerm;
  }

  /** Returns the time at which the last record of the predecessor was read. */
  public long predecessorLastRecordAt() {
    return predecessorLastRecordAt;
  }

  /** Returns what is known about the last leader other than this process. */
  public PredecessorState predecessor() {
    boolean ended = predecessorTerm.getReleased() || candidate.isOfInstance(predecessorTerm);
    boolean over = predecessorTerm.getEpoch() == 0 || ended && !predecessorTerm.getEarlierLeases();
    return over ? PredecessorState.OVER : PredecessorState.UNKNOWN;
  }

  /** Returns whether the leadership may be claimed now. */
  public boolean canClaim(long now) {
    if (now - lastReadAt > MAXIMUM_READ_AGE_MILLISECONDS) {
      return false;
    }
    boolean vacant = newestTerm.getEpoch() == 0 || newestTerm.getReleased();
    long waitMilliseconds =
        vacant ? claimDelayMilliseconds : RENEWAL_TIMEOUT_MILLISECONDS + claimDelayMilliseconds;
    return now - Math.max(renewedAt, readingSince) >= waitMilliseconds;
  }
}
