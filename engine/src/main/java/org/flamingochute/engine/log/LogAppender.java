package org.flamingochute.engine.log;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.flamingochute.decision.agreement.AgreedState;
import org.flamingochute.decision.agreement.AgreementListener;
import org.flamingochute.decision.agreement.ApplyResult;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.misc.LogText;
import org.flamingochute.platform.PlatformError;
import org.flamingochute.platform.PlatformLog;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.LogRecord;

/**
 * Appends records in batches and reports the result of applying each record.
 *
 * <p>Records that are submitted within the linger time are sent in one batch of bounded size; only
 * one append is in progress at a time. If the response to an append is lost, the log is read to its
 * end, and only the records that were not found there are appended again, under the same ids. An
 * append that arrives after that read leaves a second copy, which has no effect when applied.
 *
 * <p>After its timeout, a record is no longer appended or awaited. Its outcome is {@code
 * NotAppended} only if it was never part of an append, or if every append with it was refused.
 *
 * <p>Example: records A and B are sent in one batch, and the response is lost. The read to the end
 * finds both. Both complete as {@code Applied}, each with its own result, and nothing is appended
 * again.
 */
public final class LogAppender implements AgreementListener, ApplyListener {

  /** Maximum number of records in one append. */
  private static final int MAXIMUM_BATCH_RECORDS = 128;

  /** Delay before an append is retried after a failure. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(100);

  /** Seconds between two warnings of one kind; the metrics count every failure. */
  private static final int WARNING_INTERVAL_SECONDS = 5;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final PlatformLog log;
  private final LogFollower follower;
  private final Timers timers;
  private final Incarnation self;
  private final Duration linger;
  private final MetricRegistry metrics;
  private final Map<String, PendingRecord> pending = new LinkedHashMap<>();
  private List<Runnable> completions = new ArrayList<>();
  private long recordCounter;
  private boolean appendInProgress;
  private boolean sendScheduled;

  /**
   * Creates an appender. The caller must register it as a listener of the agreed state and of the
   * follower.
   */
  public LogAppender(
      PlatformLog log,
      LogFollower follower,
      Timers timers,
      Incarnation self,
      Duration linger,
      MetricRegistry metrics) {
    this.log = log;
    this.follower = follower;
    this.timers = timers;
    this.self = self;
    this.linger = linger;
    this.metrics = metrics;
  }

  /**
   * Appends a record. The future completes after the record was read back, after its timeout, or
   * after an image replaced the state while the record was possibly in the log.
   *
   * @param body the record with its body set; id, format version and writer are filled in
   * @param timeoutMilliseconds time after which the record is no longer appended or awaited
   */
  public CompletableFuture<AppendOutcome> append(LogRecord.Builder body, long timeoutMilliseconds) {
    PendingRecord record;
    synchronized (this) {
      recordCounter++;
      String id = self.value() + "-" + recordCounter;
      byte[] bytes =
          body.setRecordId(id)
              .setFormatVersion(AgreedState.FORMAT_VERSION)
              .setWriter(self.value())
              .build()
              .toByteArray();
      record = new PendingRecord(id, bytes);
      pending.put(id, record);
    }
    record.timeout = timers.schedule(Duration.ofMillis(timeoutMilliseconds), () -> expire(record));
    scheduleSend();
    return record.outcome;
  }

  /** Returns whether the outcome of the record is still undetermined. */
  public synchronized boolean isPending(String recordId) {
    return pending.containsKey(recordId);
  }

  /** Returns the number of records whose outcome is still undetermined. */
  public synchronized int pendingRecords() {
    return pending.size();
  }

  @Override
  public void recordApplied(long offset, LogRecord record, ApplyResult result) {
    if (!record.getWriter().equals(self.value())) {
      return;
    }
    synchronized (this) {
      PendingRecord found = pending.remove(record.getRecordId());
      if (found == null) {
        return;
      }
      completions.add(() -> complete(found, new AppendOutcome.Applied(offset, result)));
    }
  }

  @Override
  public synchronized void stateReplaced() {
    Iterator<PendingRecord> records = pending.values().iterator();
    while (records.hasNext()) {
      PendingRecord record = records.next();
      if (!record.possiblyAppended) {
        continue;
      }
      records.remove();
      AppendOutcome outcome =
          new AppendOutcome.Unknown(
              "the state was replaced by an image before the record was read");
      completions.add(() -> complete(record, outcome));
    }
  }

  @Override
  public void afterApply() {
    List<Runnable> dueCompletions;
    synchronized (this) {
      dueCompletions = completions;
      completions = new ArrayList<>();
    }
    for (Runnable completion : dueCompletions) {
      completion.run();
    }
  }

  private void complete(PendingRecord record, AppendOutcome outcome) {
    record.timeout.cancel();
    record.outcome.complete(outcome);
  }

  private void scheduleSend() {
    synchronized (this) {
      if (sendScheduled || appendInProgress) {
        return;
      }
      sendScheduled = true;
    }
    timers.schedule(linger, this::send);
  }

  private void send() {
    List<PendingRecord> batch = new ArrayList<>();
    synchronized (this) {
      sendScheduled = false;
      if (appendInProgress) {
        return;
      }
      for (PendingRecord record : pending.values()) {
        if (batch.size() == MAXIMUM_BATCH_RECORDS) {
          break;
        }
        if (record.stage == PendingRecord.Stage.QUEUED) {
          record.stage = PendingRecord.Stage.SENT;
          batch.add(record);
        }
      }
      appendInProgress = !batch.isEmpty();
    }
    if (!batch.isEmpty()) {
      sendBatch(batch);
    }
  }

  private void sendBatch(List<PendingRecord> batch) {
    List<byte[]> bytes = new ArrayList<>();
    for (PendingRecord record : batch) {
      bytes.add(record.bytes);
    }
    metrics.counter("log.appends").inc();
    metrics.counter("log.records_appended").inc(bytes.size());
    log.append(bytes).thenAccept(result -> handleAppendResult(batch, result));
  }

  private void handleAppendResult(List<PendingRecord> batch, Either<PlatformError, Long> result) {
    if (result.isRight()) {
      markExpected(batch);
      finishAppend(Duration.ZERO);
      follower.readToEnd();
      return;
    }
    metrics.counter("log.failed_appends").inc();
    logger.atWarning().atMostEvery(WARNING_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
        "event=log_append_failed records=%d detail=%s",
        batch.size(), LogText.quoted(result.getLeft().detail()));
    if (result.getLeft() instanceof PlatformError.Unknown) {
      markExpected(batch);
      resolveUnknown(batch);
      return;
    }
    requeue(batch);
    finishAppend(RETRY_DELAY);
  }

  /** Reads the log to its end and queues again the records that were not found there. */
  private void resolveUnknown(List<PendingRecord> batch) {
    if (isResolved(batch)) {
      finishAppend(Duration.ZERO);
      return;
    }
    follower.readToEnd().thenAccept(reached -> handleReadToEnd(batch, reached));
  }

  private void handleReadToEnd(List<PendingRecord> batch, boolean reachedEnd) {
    if (!reachedEnd) {
      timers.schedule(RETRY_DELAY, () -> resolveUnknown(batch));
      return;
    }
    requeue(batch);
    finishAppend(RETRY_DELAY);
  }

  private synchronized boolean isResolved(List<PendingRecord> batch) {
    for (PendingRecord record : batch) {
      if (pending.containsKey(record.recordId)) {
        return false;
      }
    }
    return true;
  }

  private synchronized void markExpected(List<PendingRecord> batch) {
    for (PendingRecord record : batch) {
      record.stage = PendingRecord.Stage.EXPECTED;
      record.possiblyAppended = true;
    }
  }

  private synchronized void requeue(List<PendingRecord> batch) {
    for (PendingRecord record : batch) {
      record.stage = PendingRecord.Stage.QUEUED;
    }
  }

  private void finishAppend(Duration delay) {
    synchronized (this) {
      appendInProgress = false;
      sendScheduled = hasQueued();
      if (!sendScheduled) {
        return;
      }
    }
    timers.schedule(delay, this::send);
  }

  private boolean hasQueued() {
    for (PendingRecord record : pending.values()) {
      if (record.stage == PendingRecord.Stage.QUEUED) {
        return true;
      }
    }
    return false;
  }

  private void expire(PendingRecord record) {
    boolean notAppended;
    synchronized (this) {
      if (pending.remove(record.recordId) == null) {
        return;
      }
      notAppended = record.stage == PendingRecord.Stage.QUEUED && !record.possiblyAppended;
    }
    metrics.counter("log.append_timeouts").inc();
    if (notAppended) {
      record.outcome.complete(new AppendOutcome.NotAppended("the log accepted no append in time"));
      return;
    }
    record.outcome.complete(new AppendOutcome.Unknown("the record was not read back in time"));
  }
}
