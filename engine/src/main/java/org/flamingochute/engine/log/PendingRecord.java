package org.flamingochute.engine.log;

import java.util.concurrent.CompletableFuture;
import org.flamingochute.platform.Timers;

/** One record on its way into the log. Guarded by the appender's lock. */
final class PendingRecord {

  /** Where the record stands. */
  enum Stage {
    /** Waits for an append. */
    QUEUED,
    /** Part of an append under way. */
    SENT,
    /** Appended or perhaps appended; waits to be read back. */
    EXPECTED
  }

  final String recordId;
  final byte[] bytes;
  final CompletableFuture<AppendOutcome> outcome = new CompletableFuture<>();
  Stage stage = Stage.QUEUED;
  boolean maybeAppended;
  Timers.Cancellation timeout = () -> {};

  PendingRecord(String recordId, byte[] bytes) {
    this.recordId = recordId;
    this.bytes = bytes;
  }
}
