package org.flamingochute.node.store;

import com.google.common.flogger.FluentLogger;
import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.flamingochute.node.ClockReading;
import org.flamingochute.node.NodeClock;
import org.flamingochute.platform.wire.KeyedValue;
import org.flamingochute.platform.wire.ProducerPosition;
import org.flamingochute.platform.wire.StoreAppendOutcome;
import org.flamingochute.platform.wire.StoreClient;
import org.flamingochute.platform.wire.StoreTopic;

/**
 * Appends the scheduler's records to the schedule topic, in order, with the epoch of its term.
 *
 * <p>One append is in progress at a time. An append without a response is repeated with the same
 * sequence number, so that it takes effect once; the store refuses it permanently once a successor
 * has written with a higher epoch.
 *
 * <p>A successful append proves that the term had no successor when the append was first sent, but
 * not when its response is read: the process may have been paused in between, or the response may
 * be the one to an earlier copy. So the age of the proof is measured from the first copy, and
 * commands wait for a proof that is recent enough. Runs on one event loop.
 */
public final class ScheduleWriter {
  /** Producer name of the scheduler's records. */
  public static final String PRODUCER = "scheduler";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long CALL_TIMEOUT_MILLISECONDS = 800;
  private static final long RETRY_DELAY_MILLISECONDS = 40;

  /** Leaves space for the framing of the records within the store's size limit of a call. */
  private static final int MAXIMUM_BYTES_PER_CALL = 1 << 20;

  private final Eventloop loop;
  private final NodeClock clock;
  private final StoreClient store;
  private final StoreTopic topic;
  private final long epoch;
  private final Confirmation confirmation;
  private final Runnable fencedCallback;
  private long sequence;
  private boolean busy;
  private boolean stopped;
  private boolean storeUnavailable;
  private ClockReading confirmedAt;

  /**
   * How a term is confirmed to have no successor yet.
   *
   * @param validityMilliseconds age from which a confirmation no longer allows commands
   * @param record returns the next record that renews the term
   */
  public record Confirmation(long validityMilliseconds, Supplier<KeyedValue> record) {}

  /**
   * Creates a writer for a term whose first record has sequence number 0.
   *
   * @param topic topic that the records are written to
   * @param claimedAt time at which that record was sent
   * @param confirmation how the term is confirmed before commands are sent
   * @param fencedCallback called once when the store refuses the term, because a successor has
   *     written or because it expects another sequence number
   */
  public ScheduleWriter(
      Eventloop loop,
      NodeClock clock,
      StoreClient store,
      StoreTopic topic,
      long epoch,
      ClockReading claimedAt,
      Confirmation confirmation,
      Runnable fencedCallback) {
    this.loop = loop;
    this.clock = clock;
    this.store = store;
    this.topic = topic;
    this.epoch = epoch;
    this.confirmedAt = claimedAt;
    this.confirmation = confirmation;
    this.fencedCallback = fencedCallback;
  }

  /** Returns whether an append is in progress. */
  public boolean isBusy() {
    return busy;
  }

  /** Returns the time since the newest successful append, or the claim, was first sent. */
  public long millisecondsSinceConfirmation() {
    return confirmedAt.elapsedMillisecondsUntil(clock.read());
  }

  /** Stops appending, including retries. */
  public void stop() {
    stopped = true;
  }

  /** Appends records; the callback runs when all are durable. */
  public void append(List<KeyedValue> records, Runnable durableCallback) {
    if (busy) {
      throw new IllegalStateException("an append is already in progress");
    }
    busy = true;
    appendChunk(splitIntoChunks(records), 0, durableCallback);
  }

  /**
   * Appends records; the callback runs when all are durable and the term is confirmed, so that it
   * may send commands.
   */
  public void appendBeforeCommands(List<KeyedValue> records, Runnable confirmedCallback) {
    append(records, () -> confirm(confirmedCallback));
  }

  private void confirm(Runnable confirmedCallback) {
    long age = millisecondsSinceConfirmation();
    if (age < confirmation.validityMilliseconds()) {
      confirmedCallback.run();
      return;
    }
    logger.atInfo().log("event=term_confirmation_outdated epoch=%d age_ms=%d", epoch, age);
    appendBeforeCommands(List.of(confirmation.record().get()), confirmedCallback);
  }

  private static List<List<KeyedValue>> splitIntoChunks(List<KeyedValue> records) {
    List<List<KeyedValue>> chunks = new ArrayList<>();
    List<KeyedValue> chunk = new ArrayList<>();
    int bytes = 0;
    for (KeyedValue record : records) {
      if (bytes > 0 && bytes + record.value().length > MAXIMUM_BYTES_PER_CALL) {
        chunks.add(chunk);
        chunk = new ArrayList<>();
        bytes = 0;
      }
      chunk.add(record);
      bytes += record.value().length;
    }
    chunks.add(chunk);
    return chunks;
  }

  private void appendChunk(List<List<KeyedValue>> chunks, int index, Runnable durableCallback) {
    if (stopped) {
      return;
    }
    if (index == chunks.size()) {
      busy = false;
      durableCallback.run();
      return;
    }
    ClockReading sentAt = clock.read();
    sendChunk(
        chunks.get(index),
        () -> {
          onSuccess(sentAt);
          appendChunk(chunks, index + 1, durableCallback);
        });
  }

  /** Sends records until they are durable. */
  private void sendChunk(List<KeyedValue> records, Runnable durableCallback) {
    if (stopped) {
      return;
    }
    store
        .append(
            topic,
            records,
            Optional.of(new ProducerPosition(PRODUCER, epoch, sequence + 1)),
            OptionalLong.empty(),
            CALL_TIMEOUT_MILLISECONDS)
        .thenAccept(result -> onAppendResult(result, records, durableCallback));
  }

  private void onAppendResult(
      StoreAppendOutcome result, List<KeyedValue> records, Runnable durableCallback) {
    if (stopped) {
      return;
    }
    switch (result) {
      case StoreAppendOutcome.Appended appended -> durableCallback.run();
      case StoreAppendOutcome.Fenced fenced -> onFenced("fenced");
      case StoreAppendOutcome.OutOfSequence gap -> onFenced("sequence_expected_" + gap.expected());
      case StoreAppendOutcome.EndMoved moved -> retry(moved.toString(), records, durableCallback);
      case StoreAppendOutcome.Refused refused -> retry(refused.detail(), records, durableCallback);
      case StoreAppendOutcome.Unknown unknown -> retry(unknown.detail(), records, durableCallback);
    }
  }

  private void onSuccess(ClockReading sentAt) {
    sequence++;
    confirmedAt = sentAt;
    if (storeUnavailable) {
      storeUnavailable = false;
      logger.atInfo().log("event=dependency_regained dependency=store topic=%s", topic);
    }
  }

  private void onFenced(String detail) {
    logger.atInfo().log("event=schedule_fenced epoch=%d detail=%s", epoch, detail);
    stopped = true;
    fencedCallback.run();
  }

  private void retry(String detail, List<KeyedValue> records, Runnable durableCallback) {
    if (!storeUnavailable) {
      storeUnavailable = true;
      logger.atWarning().log(
          "event=dependency_lost dependency=store topic=%s detail=\"%s\"", topic, detail);
    }
    loop.delay(RETRY_DELAY_MILLISECONDS, () -> sendChunk(records, durableCallback));
  }
}
