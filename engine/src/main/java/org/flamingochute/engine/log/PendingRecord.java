package org.flamingochute.engine.log;

import java.util.concurrent.CompletableFuture;
import org.flamingochute.platform.Timers;

/** One record that is being appended to the log. Guarded by the appender's lock. */
final class PendingRecord {

  /** The stage of the append. */
  enum Stage {
    /** Waiting for an append. */
    QUEUED,
    /** Part of an append in progress. */
    SENT,
    /** Appended or possibly appended; waiting to be read back. */
    EXPECTED
  }

  final String recordId;
  final byte[] bytes;
  final CompletableFuture<AppendOutcome> outcome = new CompletableFuture<>();
  Stage stage = Stage.QUEUED;
  boolean possiblyAppended;
  Timers.Cancellation timeout = () -> {};

  PendingRecord(String recordId, byte[] bytes) {
    this.recordId = recordId;
    this.bytes = bytes;
  }
}
