package org.flamingochute.node.store;

import com.google.common.flogger.FluentLogger;
import io.activej.eventloop.Eventloop;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.node.ClockReading;
import org.flamingochute.node.LogText;
import org.flamingochute.node.NodeClock;
import org.flamingochute.platform.wire.StoreClient;
import org.flamingochute.platform.wire.StorePageOutcome;
import org.flamingochute.platform.wire.StoreReadOutcome;
import org.flamingochute.platform.wire.StoreRecord;
import org.flamingochute.platform.wire.StoreTopic;

/**
 * Follows one topic of the store.
 *
 * <p>It first reads the newest record of every key, page by page, and then all records from the
 * smallest end offset of these pages. The pages are not a consistent snapshot, but any record that
 * a later page misses was appended after the first page's end and is read afterwards, so nothing is
 * lost. If the store no longer retains the next record, the whole topic is read again.
 *
 * <p>After a failed read the next one requests half as many records: on a slow link the records of
 * an outage would take longer than the read timeout, and every retry would fail in the same way.
 * After a read that does not reach the end, the next one requests twice as many, without a pause.
 * Runs on one event loop.
 */
public final class StoreFollower {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Long enough for a page of 1 MB on a slow link. */
  private static final long PAGE_TIMEOUT_MILLISECONDS = 6_000;

  private static final long READ_TIMEOUT_MARGIN_MILLISECONDS = 1_200;

  /** Shorter than the timeouts of other reads, since a caller waits for the result. */
  private static final long REFRESH_TIMEOUT_MILLISECONDS = 800;

  private static final int MAXIMUM_RECORD_LIMIT = 1_024;

  /** Few enough that records of the usual sizes arrive within the timeout on a slow link. */
  private static final int MINIMUM_RECORD_LIMIT = 16;

  /** Time between log lines about reads that keep failing. */
  private static final long FAILURE_LOG_INTERVAL_MILLISECONDS = 2_000;

  private static final long MINIMUM_RETRY_DELAY_MILLISECONDS = 30;
  private static final long MAXIMUM_RETRY_DELAY_MILLISECONDS = 400;

  private final Eventloop loop;
  private final NodeClock clock;
  private final StoreClient store;
  private final StoreTopic topic;
  private final TopicListener listener;
  private long longPollMilliseconds;
  private long pauseMilliseconds;
  private boolean stopped;
  private boolean loaded;
  private boolean storeUnavailable;
  private int recordLimit = MAXIMUM_RECORD_LIMIT;
  private long failureLoggedAt;
  private long retryDelayMilliseconds = MINIMUM_RETRY_DELAY_MILLISECONDS;
  private long nextOffset;
  private Optional<ScheduledRunnable> pausedRead = Optional.empty();
  private Optional<ClockReading> loadStartedAt = Optional.empty();
  private Optional<ClockReading> confirmedAt = Optional.empty();
  private Optional<ClockReading> lastResponseAt = Optional.empty();

  /**
   * Creates a follower.
   *
   * @param longPollMilliseconds how long the store waits for a record before it responds
   * @param pauseMilliseconds pause between reads, so that records arrive in batches
   */
  public StoreFollower(
      Eventloop loop,
      NodeClock clock,
      StoreClient store,
      StoreTopic topic,
      long longPollMilliseconds,
      long pauseMilliseconds,
      TopicListener listener) {
    this.loop = loop;
    this.clock = clock;
    this.store = store;
    this.topic = topic;
    this.longPollMilliseconds = longPollMilliseconds;
    this.pauseMilliseconds = pauseMilliseconds;
    this.listener = listener;
  }

  /** Starts reading. */
  public void start() {
    loadStartedAt = Optional.of(clock.read());
    callListener("load", listener::onLoadStarted);
    loadPage("", new ArrayList<>(), Long.MAX_VALUE);
  }

  /** Stops reading. */
  public void stop() {
    stopped = true;
  }

  /** Changes the pause between reads; a pause in progress ends at once. */
  public void setPause(long milliseconds) {
    pauseMilliseconds = milliseconds;
    if (pausedRead.isPresent()) {
      pausedRead.get().cancel();
      readAfterPause();
    }
  }

  /** Changes how long the store waits for a record before it responds to the next reads. */
  public void setLongPoll(long milliseconds) {
    longPollMilliseconds = milliseconds;
  }

  /**
   * Immediately reads the records after the newest delivered one.
   *
   * @return completes with true when all records that were in the topic at the time of the call
   *     have been delivered, and with false when that is not known
   */
  public CompletableFuture<Boolean> refresh() {
    if (!loaded) {
      return CompletableFuture.completedFuture(false);
    }
    ClockReading sentAt = clock.read();
    return store
        .read(topic, nextOffset, recordLimit, 0, REFRESH_TIMEOUT_MILLISECONDS)
        .thenApply(result -> onRefreshResult(result, sentAt));
  }

  private boolean onRefreshResult(StoreReadOutcome result, ClockReading sentAt) {
    if (!loaded || !(result instanceof StoreReadOutcome.Records records)) {
      return false;
    }
    deliver(records, sentAt);
    return nextOffset >= records.endOffset();
  }

  /** Returns whether the newest records of all keys have been delivered. */
  public boolean isLoaded() {
    return loaded;
  }

  /** Returns the offset of the next record to read. */
  public long nextOffset() {
    return nextOffset;
  }

  /**
   * Returns when the newest read that reached the end of the topic, or the load of the topic, was
   * started: all records that the topic contained then have been delivered. Empty before the topic
   * was loaded.
   */
  public Optional<ClockReading> confirmedAt() {
    return confirmedAt;
  }

  /**
   * Returns the time since {@link #confirmedAt} in milliseconds, or {@code Long.MAX_VALUE} before
   * the topic was loaded.
   */
  public long ageMilliseconds() {
    return confirmedAt
        .map(reading -> reading.elapsedMillisecondsUntil(clock.read()))
        .orElse(Long.MAX_VALUE);
  }

  /**
   * Returns the time since the store's last response in milliseconds, or {@code Long.MAX_VALUE}
   * before the first one.
   */
  public long millisecondsSinceResponse() {
    return lastResponseAt
        .map(reading -> reading.elapsedMillisecondsUntil(clock.read()))
        .orElse(Long.MAX_VALUE);
  }

  /** Makes the follower read the whole topic again after the read in progress. */
  public void reload() {
    logger.atInfo().log("event=topic_reload topic=%s next=%d", topic, nextOffset);
    loaded = false;
  }

  private void loadPage(String afterKey, List<StoreRecord> loadedRecords, long smallestEndOffset) {
    if (stopped) {
      return;
    }
    store
        .readNewest(topic, afterKey, PAGE_TIMEOUT_MILLISECONDS)
        .thenAccept(page -> onPageResult(page, loadedRecords, smallestEndOffset));
  }

  private void onPageResult(
      StorePageOutcome page, List<StoreRecord> loadedRecords, long smallestEndOffset) {
    switch (page) {
      case StorePageOutcome.Failed failed -> retry(failed.detail());
      case StorePageOutcome.Page arrived -> {
        recordResponse();
        loadedRecords.addAll(arrived.records());
        arrived.unreadable().forEach(this::logUnreadable);
        long end = Math.min(smallestEndOffset, arrived.endOffset());
        if (arrived.nextKey().isPresent()) {
          loadPage(arrived.nextKey().get(), loadedRecords, end);
        } else {
          onLoaded(loadedRecords, end);
        }
      }
    }
  }

  private void logUnreadable(String description) {
    logger.atWarning().log(
        "event=record_skipped topic=%s detail=\"%s\"", topic, LogText.of(description));
  }

  private void onLoaded(List<StoreRecord> loadedRecords, long end) {
    loaded = true;
    nextOffset = end;
    // The pages contain all records that existed when the first page was requested.
    confirmedAt = loadStartedAt;
    logger.atInfo().log(
        "event=topic_loaded topic=%s records=%d next=%d", topic, loadedRecords.size(), end);
    callListener("snapshot", () -> listener.onSnapshot(loadedRecords));
    read();
  }

  private void read() {
    if (stopped) {
      return;
    }
    if (!loaded) {
      start();
      return;
    }
    ClockReading sentAt = clock.read();
    store
        .read(
            topic,
            nextOffset,
            recordLimit,
            longPollMilliseconds,
            longPollMilliseconds + READ_TIMEOUT_MARGIN_MILLISECONDS)
        .thenAccept(result -> onReadResult(result, sentAt));
  }

  private void onReadResult(StoreReadOutcome result, ClockReading sentAt) {
    switch (result) {
      case StoreReadOutcome.Failed failed -> {
        recordLimit = Math.max(MINIMUM_RECORD_LIMIT, recordLimit / 2);
        retry(failed.detail());
      }
      case StoreReadOutcome.Trimmed trimmed -> {
        recordResponse();
        logger.atInfo().log(
            "event=topic_trimmed topic=%s next=%d first=%d",
            topic, nextOffset, trimmed.firstOffset());
        loaded = false;
        start();
      }
      case StoreReadOutcome.Records records -> {
        recordResponse();
        deliver(records, sentAt);
        boolean isBehind = nextOffset < records.endOffset();
        if (isBehind) {
          recordLimit = Math.min(MAXIMUM_RECORD_LIMIT, 2 * recordLimit);
        }
        readAgain(!isBehind && !records.records().isEmpty());
      }
    }
  }

  /** Reads again, after a pause if that lets records accumulate. */
  private void readAgain(boolean pauseAllowed) {
    if (pauseMilliseconds > 0 && pauseAllowed) {
      pausedRead = Optional.of(loop.delay(pauseMilliseconds, this::readAfterPause));
    } else {
      read();
    }
  }

  private void readAfterPause() {
    pausedRead = Optional.empty();
    read();
  }

  /** Delivers records; skips those that another read or a refresh has already delivered. */
  private void deliver(StoreReadOutcome.Records records, ClockReading sentAt) {
    for (long offset : records.unreadableOffsets()) {
      if (offset >= nextOffset) {
        logUnreadable("offset " + offset + ": the key cannot be read");
      }
    }
    for (StoreRecord record : records.records()) {
      if (record.offset() >= nextOffset) {
        callListener("offset " + record.offset(), () -> listener.onRecord(record));
      }
    }
    nextOffset = Math.max(nextOffset, records.nextOffset());
    if (nextOffset >= records.endOffset()) {
      confirmedAt = Optional.of(sentAt);
      listener.onCaughtUp();
    }
  }

  /**
   * Passes records to the listener. An unexpected error in it must not end the reading, since
   * nobody would restart it.
   */
  private void callListener(String description, Runnable call) {
    try {
      call.run();
    } catch (RuntimeException | StackOverflowError e) {
      logger.atSevere().withCause(e).log(
          "event=record_failed topic=%s detail=\"%s\"", topic, description);
    }
  }

  private void recordResponse() {
    lastResponseAt = Optional.of(clock.read());
    retryDelayMilliseconds = MINIMUM_RETRY_DELAY_MILLISECONDS;
    if (storeUnavailable) {
      storeUnavailable = false;
      logger.atInfo().log("event=dependency_regained dependency=store topic=%s", topic);
    }
  }

  private void retry(String detail) {
    long now = clock.steadyMilliseconds();
    if (!storeUnavailable) {
      storeUnavailable = true;
      failureLoggedAt = now;
      logger.atWarning().log(
          "event=dependency_lost dependency=store topic=%s detail=\"%s\"", topic, detail);
    } else if (now - failureLoggedAt >= FAILURE_LOG_INTERVAL_MILLISECONDS) {
      failureLoggedAt = now;
      logger.atInfo().log(
          "event=read_failed dependency=store topic=%s next=%d record_limit=%d detail=\"%s\"",
          topic, nextOffset, recordLimit, detail);
    }
    long delayMilliseconds = retryDelayMilliseconds;
    retryDelayMilliseconds = Math.min(MAXIMUM_RETRY_DELAY_MILLISECONDS, 2 * retryDelayMilliseconds);
    loop.delay(delayMilliseconds, this::read);
  }
}
