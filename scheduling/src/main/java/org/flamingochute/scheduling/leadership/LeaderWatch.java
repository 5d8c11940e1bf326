package org.flamingochute.scheduling.leadership;

import org.flamingochute.scheduling.core.PredecessorState;
import org.flamingochute.schema.scheduling.LeaderTerm;

/**
 * Judges from the records of the store whether the leadership of the scheduler may be claimed.
 *
 * <p>The holder renews its term more often than the timeout. A candidate counts the time since the
 * last renewal that it read, and only while its reads of the store succeed, so that a candidate
 * that is cut off from the store never regards the holder as silent. A wrong judgement does no
 * harm: a claim is an append on the condition that nothing was appended since the candidate's last
 * read, so a renewal that the candidate has not read makes its claim fail.
 *
 * <p>The predecessor is the last holder other than the candidate itself. The candidate's own term
 * may be read before its claim is answered, and must not be taken for that of a process that has
 * ended.
 */
public final class LeaderWatch {
  /** Time without a renewal after which the holder is regarded as lost. */
  public static final long TAKEOVER_MILLISECONDS = 1_200;

  /** Longest age of the last successful read at which the holder's silence counts. */
  private static final long READ_AGE_MILLISECONDS = 1_200;

  private final long claimDelayMilliseconds;
  private final LeaderCandidate candidate;
  private LeaderTerm newest = LeaderTerm.getDefaultInstance();
  private long renewedAt;
  private LeaderTerm previous = LeaderTerm.getDefaultInstance();
  private long previousHeardAt;
  private long readAt = Long.MIN_VALUE / 2;
  private long readsBegan;

  /**
   * Creates a watch.
   *
   * @param claimDelayMilliseconds delay of this candidate's claims, different for each candidate so
   *     that one of them usually comes first
   * @param candidate this process
   */
  public LeaderWatch(long claimDelayMilliseconds, LeaderCandidate candidate) {
    this.claimDelayMilliseconds = claimDelayMilliseconds;
    this.candidate = candidate;
  }

  /** Takes a record of the term; older ones than the newest are ignored. */
  public void observe(LeaderTerm term, long now) {
    if (term.getEpoch() < newest.getEpoch()) {
      return;
    }
    newest = term;
    holderWrote(now);
  }

  /** Notes a record that only the holder of the leadership can have written. */
  public void holderWrote(long now) {
    renewedAt = now;
    if (!candidate.holds(newest)) {
      previous = newest;
      previousHeardAt = now;
    }
  }

  /** Notes that the store answered a read which was sent after everything before was applied. */
  public void readSucceeded(long now) {
    if (now - readAt > READ_AGE_MILLISECONDS) {
      readsBegan = now;
    }
    readAt = now;
  }

  /** Returns the newest term; epoch 0 when there was none. */
  public LeaderTerm newest() {
    return newest;
  }

  /** Returns when the last sign of the predecessor was read. */
  public long predecessorHeardAt() {
    return previousHeardAt;
  }

  /** Returns what is known of the last holder other than this process. */
  public PredecessorState predecessor() {
    boolean ended = previous.getReleased() || candidate.isOfInstance(previous);
    boolean over = previous.getEpoch() == 0 || ended && !previous.getEarlierLeases();
    return over ? PredecessorState.OVER : PredecessorState.UNKNOWN;
  }

  /** Tells whether the leadership may be claimed now. */
  public boolean mayClaim(long now) {
    if (now - readAt > READ_AGE_MILLISECONDS) {
      return false;
    }
    boolean vacant = newest.getEpoch() == 0 || newest.getReleased();
    long patience =
        vacant ? claimDelayMilliseconds : TAKEOVER_MILLISECONDS + claimDelayMilliseconds;
    return now - Math.max(renewedAt, readsBegan) >= patience;
  }
}
