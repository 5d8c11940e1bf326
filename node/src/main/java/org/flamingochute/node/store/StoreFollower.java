package org.flamingochute.node.store;

import com.google.common.flogger.FluentLogger;
import io.activej.eventloop.Eventloop;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.node.Moment;
import org.flamingochute.node.NodeClock;
import org.flamingochute.platform.wire.StoreClient;
import org.flamingochute.platform.wire.StorePage;
import org.flamingochute.platform.wire.StoreRead;
import org.flamingochute.platform.wire.StoreRecord;
import org.flamingochute.platform.wire.StoreTopic;

/**
 * Follows one topic of the store.
 *
 * <p>It first reads the newest record of every key, page by page, and then everything from the
 * smallest end that a page told. Pages are no snapshot, but what a later page misses was appended
 * after the first page's end and is read afterwards, so nothing is lost. When the store no longer
 * keeps the next record, the topic is read anew.
 *
 * <p>A read that fails asks for half as many records the next time, and one that does not reach the
 * end for twice as many, without a pause: on a slow link the records of an outage would take longer
 * than a read may, and every repetition would fail in the same way. Runs on one event loop.
 */
public final class StoreFollower {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** A page may hold 1 MB, whatever the link. */
  private static final long PAGE_TIMEOUT_MILLISECONDS = 6_000;

  private static final long READ_SLACK_MILLISECONDS = 1_200;

  /** A caller waits for it, so it is shorter than other reads' time. */
  private static final long REFRESH_TIMEOUT_MILLISECONDS = 800;

  private static final int MOST_RECORDS = 1_024;

  /** Few enough for the slowest link, whatever their size. */
  private static final int FEWEST_RECORDS = 16;

  /** Pause between lines on reads that keep failing. */
  private static final long FAILURE_REPORT_MILLISECONDS = 2_000;

  private static final long FIRST_RETRY_MILLISECONDS = 30;
  private static final long LONGEST_RETRY_MILLISECONDS = 400;

  private final Eventloop loop;
  private final NodeClock clock;
  private final StoreClient store;
  private final StoreTopic topic;
  private final long waitMilliseconds;
  private final TopicListener listener;
  private long pauseMilliseconds;
  private boolean stopped;
  private boolean loaded;
  private boolean lost;
  private int recordLimit = MOST_RECORDS;
  private long failureReportedAt;
  private long retryMilliseconds = FIRST_RETRY_MILLISECONDS;
  private long next;
  private Optional<ScheduledRunnable> pausedRead = Optional.empty();
  private Optional<Moment> loadBeganAt = Optional.empty();
  private Optional<Moment> confirmedAt = Optional.empty();
  private Optional<Moment> answeredAt = Optional.empty();

  /**
   * Creates a follower.
   *
   * @param waitMilliseconds how long the store waits for a record before it answers
   * @param pauseMilliseconds pause between reads, so that records arrive in groups
   */
  public StoreFollower(
      Eventloop loop,
      NodeClock clock,
      StoreClient store,
      StoreTopic topic,
      long waitMilliseconds,
      long pauseMilliseconds,
      TopicListener listener) {
    this.loop = loop;
    this.clock = clock;
    this.store = store;
    this.topic = topic;
    this.waitMilliseconds = waitMilliseconds;
    this.pauseMilliseconds = pauseMilliseconds;
    this.listener = listener;
  }

  /** Begins to read. */
  public void start() {
    loadBeganAt = Optional.of(clock.now());
    load("", new ArrayList<>(), Long.MAX_VALUE);
  }

  /** Ends reading. */
  public void stop() {
    stopped = true;
  }

  /** Changes the pause between reads; a pause that is under way ends. */
  public void setPause(long milliseconds) {
    pauseMilliseconds = milliseconds;
    if (pausedRead.isPresent()) {
      pausedRead.get().cancel();
      readAfterPause();
    }
  }

  /**
   * Reads at once what is there beyond the newest delivered record.
   *
   * @return completes with true when everything was delivered that was in the topic when this was
   *     called, and with false when the store did not tell
   */
  public CompletableFuture<Boolean> refresh() {
    if (!loaded) {
      return CompletableFuture.completedFuture(false);
    }
    Moment sentAt = clock.now();
    return store
        .read(topic, next, recordLimit, 0, REFRESH_TIMEOUT_MILLISECONDS)
        .thenApply(result -> refreshed(result, sentAt));
  }

  private boolean refreshed(StoreRead result, Moment sentAt) {
    if (!loaded || !(result instanceof StoreRead.Records records)) {
      return false;
    }
    deliver(records, sentAt);
    return next >= records.end();
  }

  /** Tells whether the newest records of all keys were delivered. */
  public boolean isLoaded() {
    return loaded;
  }

  /** Returns the offset that is read next. */
  public long next() {
    return next;
  }

  /** Returns the latest moment as of which everything was delivered. */
  public Optional<Moment> confirmedAt() {
    return confirmedAt;
  }

  /** Returns how old the newest complete knowledge of the topic is, in milliseconds. */
  public long ageMilliseconds() {
    return confirmedAt.map(moment -> moment.elapsedUntil(clock.now())).orElse(Long.MAX_VALUE);
  }

  /** Returns the time since the store last answered, in milliseconds. */
  public long silenceMilliseconds() {
    return answeredAt.map(moment -> moment.elapsedUntil(clock.now())).orElse(Long.MAX_VALUE);
  }

  /** Reads the whole topic again. */
  public void reload() {
    logger.atInfo().log("event=topic_reload topic=%s next=%d", topic, next);
    loaded = false;
  }

  private void load(String after, List<StoreRecord> found, long smallestEnd) {
    if (stopped) {
      return;
    }
    store
        .newest(topic, after, PAGE_TIMEOUT_MILLISECONDS)
        .thenAccept(page -> pageArrived(page, found, smallestEnd));
  }

  private void pageArrived(StorePage page, List<StoreRecord> found, long smallestEnd) {
    switch (page) {
      case StorePage.Failed failed -> retry(failed.detail());
      case StorePage.Page arrived -> {
        regained();
        found.addAll(arrived.records());
        long end = Math.min(smallestEnd, arrived.end());
        if (arrived.more() && !arrived.records().isEmpty()) {
          load(arrived.records().getLast().key(), found, end);
        } else {
          loadCompleted(found, end);
        }
      }
    }
  }

  private void loadCompleted(List<StoreRecord> found, long end) {
    loaded = true;
    next = end;
    // Whatever was there when the first page was asked for is on the pages.
    confirmedAt = loadBeganAt;
    logger.atInfo().log("event=topic_loaded topic=%s records=%d next=%d", topic, found.size(), end);
    listener.snapshot(found);
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
    Moment sentAt = clock.now();
    store
        .read(
            topic, next, recordLimit, waitMilliseconds, waitMilliseconds + READ_SLACK_MILLISECONDS)
        .thenAccept(result -> readArrived(result, sentAt));
  }

  private void readArrived(StoreRead result, Moment sentAt) {
    switch (result) {
      case StoreRead.Failed failed -> {
        recordLimit = Math.max(FEWEST_RECORDS, recordLimit / 2);
        retry(failed.detail());
      }
      case StoreRead.Trimmed trimmed -> {
        regained();
        logger.atInfo().log(
            "event=topic_trimmed topic=%s next=%d first=%d", topic, next, trimmed.first());
        loaded = false;
        start();
      }
      case StoreRead.Records records -> {
        regained();
        deliver(records, sentAt);
        boolean behind = next < records.end();
        if (behind) {
          recordLimit = Math.min(MOST_RECORDS, 2 * recordLimit);
        }
        readAgain(!behind && !records.records().isEmpty());
      }
    }
  }

  /** Reads again, after a pause when that lets records gather. */
  private void readAgain(boolean mayGather) {
    if (pauseMilliseconds > 0 && mayGather) {
      pausedRead = Optional.of(loop.delay(pauseMilliseconds, this::readAfterPause));
    } else {
      read();
    }
  }

  private void readAfterPause() {
    pausedRead = Optional.empty();
    read();
  }

  /** A refresh and a read may bring the same records; what was delivered is left out. */
  private void deliver(StoreRead.Records records, Moment sentAt) {
    if (records.unreadable() > 0) {
      logger.atWarning().log(
          "event=records_unreadable topic=%s from=%d count=%d", topic, next, records.unreadable());
    }
    for (StoreRecord record : records.records()) {
      if (record.offset() >= next) {
        listener.record(record);
      }
    }
    next = Math.max(next, records.next());
    if (next >= records.end()) {
      confirmedAt = Optional.of(sentAt);
      listener.caughtUp();
    }
  }

  private void regained() {
    answeredAt = Optional.of(clock.now());
    retryMilliseconds = FIRST_RETRY_MILLISECONDS;
    if (lost) {
      lost = false;
      logger.atInfo().log("event=dependency_regained dependency=store topic=%s", topic);
    }
  }

  private void retry(String detail) {
    long now = clock.steady();
    if (!lost) {
      lost = true;
      failureReportedAt = now;
      logger.atWarning().log(
          "event=dependency_lost dependency=store topic=%s detail=\"%s\"", topic, detail);
    } else if (now - failureReportedAt >= FAILURE_REPORT_MILLISECONDS) {
      failureReportedAt = now;
      logger.atInfo().log(
          "event=read_failed dependency=store topic=%s next=%d record_limit=%d detail=\"%s\"",
          topic, next, recordLimit, detail);
    }
    long delay = retryMilliseconds;
    retryMilliseconds = Math.min(LONGEST_RETRY_MILLISECONDS, 2 * retryMilliseconds);
    loop.delay(delay, this::read);
  }
}
