package org.flamingochute.decision.agreement;

/**
 * Where the fold stands while it applies one record.
 *
 * @param offset the record's offset in the log
 * @param timeMilliseconds the largest append time so far, in milliseconds since the epoch
 */
record FoldPosition(long offset, long timeMilliseconds) {

  /** Returns the time after a delay; far-off times are cut off instead of overflowing. */
  long after(long delayMilliseconds) {
    if (timeMilliseconds > Long.MAX_VALUE - delayMilliseconds) {
      return Long.MAX_VALUE;
    }
    return timeMilliseconds + delayMilliseconds;
  }

  /** Tells whether an earlier time lies further back than a retention time. */
  boolean isExpired(long earlierMilliseconds, long retentionMilliseconds) {
    return timeMilliseconds - retentionMilliseconds > earlierMilliseconds;
  }
}
