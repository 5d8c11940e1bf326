package org.flamingochute.scheduling.leadership;

/**
 * Decides when an instance that does not follow the leader's records must do so, because the leader
 * seems to be lost and no larger instance has claimed the leadership.
 *
 * <p>A standby instance only reads where the topic of these records ends. The leader appends at
 * least one record in {@link LeaderMonitor#RENEWAL_TIMEOUT_MILLISECONDS}, so the end moves while
 * there is a leader. Time counts only while the store can be reached. A wrong decision does no
 * harm: a claim is refused if the leader has appended anything that the claimant has not read.
 */
public final class StandbyMonitor {
  /** Time without a response of the store from which the silence is measured anew. */
  private static final long MAXIMUM_RESPONSE_AGE_MILLISECONDS = 1_200;

  private final long activationMilliseconds;
  private long endOffset = -1;
  private long movedAt;
  private long respondedAt = Long.MIN_VALUE / 2;

  /**
   * Creates a monitor.
   *
   * @param claimDelayMilliseconds delay of this candidate's claims; the records are loaded in the
   *     second half of it
   */
  public StandbyMonitor(long claimDelayMilliseconds) {
    activationMilliseconds =
        LeaderMonitor.RENEWAL_TIMEOUT_MILLISECONDS + claimDelayMilliseconds / 2;
  }

  /** Applies where the topic ended when the store responded. */
  public void onEndRead(long newEndOffset, long now) {
    onStoreReached(now);
    if (newEndOffset != endOffset) {
      endOffset = newEndOffset;
      movedAt = now;
    }
  }

  /** Records that the store has responded, but not told where the topic ends. */
  public void onStoreReached(long now) {
    if (now - respondedAt > MAXIMUM_RESPONSE_AGE_MILLISECONDS) {
      movedAt = now;
    }
    respondedAt = now;
  }

  /** Returns whether the leader's records must be followed from now on. */
  public boolean mustActivate(long now) {
    return now - respondedAt <= MAXIMUM_RESPONSE_AGE_MILLISECONDS
        && now - movedAt >= activationMilliseconds;
  }

  /** Returns the time at which the end of the topic moved last, or was first observed. */
  public long movedAt() {
    return movedAt;
  }
}
