package org.flamingochute.node.store;

import com.google.common.flogger.FluentLogger;
import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.flamingochute.node.Moment;
import org.flamingochute.node.NodeClock;
import org.flamingochute.platform.wire.KeyedValue;
import org.flamingochute.platform.wire.ProducerPosition;
import org.flamingochute.platform.wire.StoreAppend;
import org.flamingochute.platform.wire.StoreClient;
import org.flamingochute.platform.wire.StoreTopic;

/**
 * The scheduler's appends, in order, under its epoch.
 *
 * <p>One append is under way at a time. One without an answer is repeated with the same sequence
 * number, so that it takes effect once; the store refuses it for good as soon as a successor has
 * written under a higher epoch. Runs on one event loop.
 */
public final class ScheduleWriter {
  /** Name of the stream of the scheduler's records. */
  public static final String PRODUCER = "scheduler";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long CALL_TIMEOUT_MILLISECONDS = 800;
  private static final long RETRY_MILLISECONDS = 40;

  /** Leaves room for the frames of the records under the store's limit of a call. */
  private static final int BYTES_PER_CALL = 1 << 20;

  private final Eventloop loop;
  private final NodeClock clock;
  private final StoreClient store;
  private final long epoch;
  private final Runnable whenFenced;
  private long sequence;
  private boolean busy;
  private boolean stopped;
  private boolean lost;
  private Moment lastSuccess;

  /**
   * Creates a writer for a term whose first record has sequence number 0.
   *
   * @param whenFenced runs once when a successor has written
   */
  public ScheduleWriter(
      Eventloop loop, NodeClock clock, StoreClient store, long epoch, Runnable whenFenced) {
    this.loop = loop;
    this.clock = clock;
    this.store = store;
    this.epoch = epoch;
    this.whenFenced = whenFenced;
    this.lastSuccess = clock.now();
  }

  /** Tells whether an append is under way. */
  public boolean isBusy() {
    return busy;
  }

  /** Returns the time since the last append that succeeded, in milliseconds. */
  public long silenceMilliseconds() {
    return lastSuccess.elapsedUntil(clock.now());
  }

  /** Ends repeating. */
  public void stop() {
    stopped = true;
  }

  /** Appends records; the action runs when all are durable. */
  public void append(List<KeyedValue> records, Runnable whenDurable) {
    if (busy) {
      throw new IllegalStateException("an append is under way");
    }
    busy = true;
    appendParts(partsOf(records), 0, whenDurable);
  }

  private static List<List<KeyedValue>> partsOf(List<KeyedValue> records) {
    List<List<KeyedValue>> parts = new ArrayList<>();
    List<KeyedValue> part = new ArrayList<>();
    int bytes = 0;
    for (KeyedValue record : records) {
      if (bytes > 0 && bytes + record.value().length > BYTES_PER_CALL) {
        parts.add(part);
        part = new ArrayList<>();
        bytes = 0;
      }
      part.add(record);
      bytes += record.value().length;
    }
    parts.add(part);
    return parts;
  }

  private void appendParts(List<List<KeyedValue>> parts, int index, Runnable whenDurable) {
    if (stopped) {
      return;
    }
    if (index == parts.size()) {
      busy = false;
      whenDurable.run();
      return;
    }
    store
        .append(
            StoreTopic.SCHEDULE,
            parts.get(index),
            Optional.of(new ProducerPosition(PRODUCER, epoch, sequence + 1)),
            OptionalLong.empty(),
            CALL_TIMEOUT_MILLISECONDS)
        .thenAccept(result -> answered(result, parts, index, whenDurable));
  }

  private void answered(
      StoreAppend result, List<List<KeyedValue>> parts, int index, Runnable whenDurable) {
    if (stopped) {
      return;
    }
    switch (result) {
      case StoreAppend.Appended appended -> {
        sequence++;
        succeeded();
        appendParts(parts, index + 1, whenDurable);
      }
      case StoreAppend.Fenced fenced -> fenced("fenced");
      case StoreAppend.OutOfSequence gap -> fenced("sequence_expected_" + gap.expected());
      case StoreAppend.EndMoved moved -> repeat(moved.toString(), parts, index, whenDurable);
      case StoreAppend.Refused refused -> repeat(refused.detail(), parts, index, whenDurable);
      case StoreAppend.Unknown unknown -> repeat(unknown.detail(), parts, index, whenDurable);
    }
  }

  private void succeeded() {
    lastSuccess = clock.now();
    if (lost) {
      lost = false;
      logger.atInfo().log("event=dependency_regained dependency=store topic=SCHEDULE");
    }
  }

  private void fenced(String detail) {
    logger.atInfo().log("event=schedule_fenced epoch=%d detail=%s", epoch, detail);
    stopped = true;
    whenFenced.run();
  }

  private void repeat(
      String detail, List<List<KeyedValue>> parts, int index, Runnable whenDurable) {
    if (!lost) {
      lost = true;
      logger.atWarning().log(
          "event=dependency_lost dependency=store topic=SCHEDULE detail=\"%s\"", detail);
    }
    loop.delay(RETRY_MILLISECONDS, () -> appendParts(parts, index, whenDurable));
  }
}
