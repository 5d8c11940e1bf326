package org.flamingochute.decision.agreement;

/**
 * The position in the log of the record that is being applied.
 *
 * @param offset the record's offset in the log
 * @param timeMilliseconds the largest append time so far, in milliseconds since the epoch
 */
record ApplyPosition(long offset, long timeMilliseconds) {

  /** Returns the time after a delay, saturating instead of overflowing. */
  long after(long delayMilliseconds) {
    if (timeMilliseconds > Long.MAX_VALUE - delayMilliseconds) {
      return Long.MAX_VALUE;
    }
    return timeMilliseconds + delayMilliseconds;
  }

  /** Returns whether more than the retention time has passed since an earlier time. */
  boolean isExpired(long earlierMilliseconds, long retentionMilliseconds) {
    return timeMilliseconds - retentionMilliseconds > earlierMilliseconds;
  }
}
