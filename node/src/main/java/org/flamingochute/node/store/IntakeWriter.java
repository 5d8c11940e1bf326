package org.flamingochute.node.store;

import com.google.common.flogger.FluentLogger;
import io.activej.eventloop.Eventloop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.node.ClockReading;
import org.flamingochute.node.NodeClock;
import org.flamingochute.platform.wire.KeyedValue;
import org.flamingochute.platform.wire.StoreAppendOutcome;
import org.flamingochute.platform.wire.StoreClient;
import org.flamingochute.platform.wire.StoreTopic;

/**
 * Appends submissions and cancellations of jobs, many records with one call.
 *
 * <p>Appends are idempotent: the first definition of a job counts, and a cancellation is a flag. So
 * a call that fails, with or without a response, is repeated until the record's timeout. At the
 * timeout the record is not stored if no call contained it, or if all calls with it were refused;
 * the outcome is unknown if a call with it is in progress, which may still succeed, or if one
 * failed in another way. Runs on one event loop.
 */
public final class IntakeWriter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long CALL_TIMEOUT_MILLISECONDS = 800;
  private static final long RETRY_DELAY_MILLISECONDS = 40;
  private static final int MAXIMUM_RECORDS_PER_CALL = 256;
  private static final int MAXIMUM_BYTES_PER_CALL = 1 << 20;

  /** Time of continuous failures after which the store counts as unavailable. */
  private static final long UNAVAILABLE_AFTER_MILLISECONDS = 1_000;

  /** Time after the last failure from which a new append may probe the store. */
  private static final long PROBE_INTERVAL_MILLISECONDS = 500;

  private final Eventloop loop;
  private final NodeClock clock;
  private final StoreClient store;
  private final Deque<PendingRecord> waiting = new ArrayDeque<>();
  private boolean appending;
  private Optional<ClockReading> failingSince = Optional.empty();
  private Optional<ClockReading> failedAt = Optional.empty();

  /** Creates a writer. */
  public IntakeWriter(Eventloop loop, NodeClock clock, StoreClient store) {
    this.loop = loop;
    this.clock = clock;
    this.store = store;
  }

  private static final class PendingRecord {
    private final KeyedValue record;
    private final CompletableFuture<IntakeResult> future = new CompletableFuture<>();
    private boolean inCall;
    private boolean uncertain;

    private PendingRecord(KeyedValue record) {
      this.record = record;
    }
  }

  /**
   * Returns whether appends have failed for a while, so that a new one would not succeed soon. If
   * none was tried recently, returns false, so that the next append probes the store.
   */
  public boolean isStoreUnavailable() {
    return isOlder(failingSince, UNAVAILABLE_AFTER_MILLISECONDS)
        && !isOlder(failedAt, PROBE_INTERVAL_MILLISECONDS);
  }

  private boolean isOlder(Optional<ClockReading> reading, long milliseconds) {
    return reading
        .map(since -> since.elapsedMillisecondsUntil(clock.read()) >= milliseconds)
        .orElse(false);
  }

  /** Appends a record; the result is available at the latest after the given time. */
  public CompletableFuture<IntakeResult> append(KeyedValue record, long timeoutMilliseconds) {
    PendingRecord pendingRecord = new PendingRecord(record);
    waiting.add(pendingRecord);
    loop.delay(Math.max(1, timeoutMilliseconds), () -> onTimeout(pendingRecord));
    scheduleAppend();
    return pendingRecord.future;
  }

  private void onTimeout(PendingRecord pendingRecord) {
    if (pendingRecord.future.isDone()) {
      return;
    }
    waiting.remove(pendingRecord);
    boolean mayBeStored = pendingRecord.inCall || pendingRecord.uncertain;
    pendingRecord.future.complete(mayBeStored ? IntakeResult.UNKNOWN : IntakeResult.NOT_STORED);
  }

  private void scheduleAppend() {
    if (!appending) {
      appending = true;
      loop.post(this::appendNext);
    }
  }

  private void appendNext() {
    List<PendingRecord> batch = takeBatch();
    if (batch.isEmpty()) {
      appending = false;
      return;
    }
    List<KeyedValue> records = new ArrayList<>(batch.size());
    for (PendingRecord pendingRecord : batch) {
      pendingRecord.inCall = true;
      records.add(pendingRecord.record);
    }
    store
        .append(
            StoreTopic.INTAKE,
            records,
            Optional.empty(),
            OptionalLong.empty(),
            CALL_TIMEOUT_MILLISECONDS)
        .thenAccept(result -> onAppendResult(batch, result));
  }

  private List<PendingRecord> takeBatch() {
    List<PendingRecord> batch = new ArrayList<>();
    int bytes = 0;
    while (!waiting.isEmpty()
        && batch.size() < MAXIMUM_RECORDS_PER_CALL
        && bytes < MAXIMUM_BYTES_PER_CALL) {
      PendingRecord pendingRecord = waiting.poll();
      bytes += pendingRecord.record.value().length;
      batch.add(pendingRecord);
    }
    return batch;
  }

  private void onAppendResult(List<PendingRecord> batch, StoreAppendOutcome result) {
    for (PendingRecord pendingRecord : batch) {
      pendingRecord.inCall = false;
    }
    if (result instanceof StoreAppendOutcome.Appended) {
      onSuccess(batch);
      return;
    }
    boolean uncertain = !(result instanceof StoreAppendOutcome.Refused);
    onFailure(batch, uncertain, result);
  }

  private void onSuccess(List<PendingRecord> batch) {
    if (failingSince.isPresent()) {
      failingSince = Optional.empty();
      logger.atInfo().log("event=dependency_regained dependency=store topic=INTAKE");
    }
    batch.forEach(pendingRecord -> pendingRecord.future.complete(IntakeResult.STORED));
    appendNext();
  }

  private void onFailure(List<PendingRecord> batch, boolean uncertain, StoreAppendOutcome result) {
    failedAt = Optional.of(clock.read());
    if (failingSince.isEmpty()) {
      failingSince = Optional.of(clock.read());
      logger.atWarning().log(
          "event=dependency_lost dependency=store topic=INTAKE result=\"%s\"", result);
    }
    for (int i = batch.size() - 1; i >= 0; i--) {
      PendingRecord pendingRecord = batch.get(i);
      pendingRecord.uncertain |= uncertain;
      if (!pendingRecord.future.isDone()) {
        waiting.addFirst(pendingRecord);
      }
    }
    loop.delay(RETRY_DELAY_MILLISECONDS, this::appendNext);
  }
}
