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
import org.flamingochute.decision.agreement.FoldResult;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.misc.LogText;
import org.flamingochute.platform.PlatformError;
import org.flamingochute.platform.PlatformLog;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.LogRecord;

/**
 * Appends records in batches and reports what the fold made of each.
 *
 * <p>Records that come within the linger time go out together, a bounded number of them, one append
 * at a time. When the reply of an append is lost, the log is read to its end first, and only those
 * records that were not found there are appended again, under the same ids. An append that arrives
 * later than that read leaves a second copy, which folds to nothing.
 *
 * <p>A record whose time is over is withdrawn. It ends as not appended only when no append with it
 * was ever begun, or each one was refused.
 *
 * <p>Example: A and B go out together, and the reply is lost. The read to the end finds both. Both
 * end as folded with their own results, and nothing is appended again.
 */
public final class LogAppender implements AgreementListener, FoldReaction {

  /** Records in one append at most. */
  private static final int BATCH_RECORDS = 128;

  /** Time before an append is tried again after a failure. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(100);

  /** Seconds between two warnings of one kind; the metrics count every failure. */
  private static final int WARNING_SECONDS = 5;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final PlatformLog log;
  private final LogFollower follower;
  private final Timers timers;
  private final Incarnation self;
  private final Duration linger;
  private final MetricRegistry metrics;
  private final Map<String, PendingRecord> pending = new LinkedHashMap<>();
  private List<Runnable> completions = new ArrayList<>();
  private long counter;
  private boolean appendUnderWay;
  private boolean lingering;

  /** Creates an appender. It must listen to the agreed state and react to the follower. */
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
   * Appends a record and waits until it was read back.
   *
   * @param body the record with its body set; id, format version and writer are filled in
   * @param timeoutMilliseconds time after which the record is withdrawn
   */
  public CompletableFuture<AppendOutcome> append(LogRecord.Builder body, long timeoutMilliseconds) {
    PendingRecord record;
    synchronized (this) {
      counter++;
      String id = self.value() + "-" + counter;
      byte[] bytes =
          body.setRecordId(id)
              .setFormatVersion(AgreedState.FORMAT_VERSION)
              .setWriter(self.value())
              .build()
              .toByteArray();
      record = new PendingRecord(id, bytes);
      pending.put(id, record);
    }
    record.timeout = timers.schedule(Duration.ofMillis(timeoutMilliseconds), () -> timeOut(record));
    lingerThenSend();
    return record.outcome;
  }

  /** Tells whether the record is on its way and its caller still waits for it. */
  public synchronized boolean isPending(String recordId) {
    return pending.containsKey(recordId);
  }

  /** Returns the number of records that are on their way. */
  public synchronized int pendingRecords() {
    return pending.size();
  }

  @Override
  public void recordFolded(long offset, LogRecord record, FoldResult result) {
    if (!record.getWriter().equals(self.value())) {
      return;
    }
    synchronized (this) {
      PendingRecord found = pending.remove(record.getRecordId());
      if (found == null) {
        return;
      }
      completions.add(() -> complete(found, new AppendOutcome.Folded(offset, result)));
    }
  }

  @Override
  public synchronized void stateReplaced() {
    Iterator<PendingRecord> records = pending.values().iterator();
    while (records.hasNext()) {
      PendingRecord record = records.next();
      if (!record.maybeAppended) {
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
  public void folded() {
    List<Runnable> due;
    synchronized (this) {
      due = completions;
      completions = new ArrayList<>();
    }
    for (Runnable completion : due) {
      completion.run();
    }
  }

  private void complete(PendingRecord record, AppendOutcome outcome) {
    record.timeout.cancel();
    record.outcome.complete(outcome);
  }

  private void lingerThenSend() {
    synchronized (this) {
      if (lingering || appendUnderWay) {
        return;
      }
      lingering = true;
    }
    timers.schedule(linger, this::send);
  }

  private void send() {
    List<PendingRecord> batch = new ArrayList<>();
    synchronized (this) {
      lingering = false;
      if (appendUnderWay) {
        return;
      }
      for (PendingRecord record : pending.values()) {
        if (batch.size() == BATCH_RECORDS) {
          break;
        }
        if (record.stage == PendingRecord.Stage.QUEUED) {
          record.stage = PendingRecord.Stage.SENT;
          batch.add(record);
        }
      }
      appendUnderWay = !batch.isEmpty();
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
    log.append(bytes).thenAccept(answer -> takeAnswer(batch, answer));
  }

  private void takeAnswer(List<PendingRecord> batch, Either<PlatformError, Long> answer) {
    if (answer.isRight()) {
      expect(batch);
      endAppend(Duration.ZERO);
      follower.readToEnd();
      return;
    }
    metrics.counter("log.failed_appends").inc();
    logger.atWarning().atMostEvery(WARNING_SECONDS, TimeUnit.SECONDS).log(
        "event=log_append_failed records=%d detail=%s",
        batch.size(), LogText.quoted(answer.getLeft().detail()));
    if (answer.getLeft() instanceof PlatformError.Unknown) {
      expect(batch);
      settle(batch);
      return;
    }
    requeue(batch);
    endAppend(RETRY_DELAY);
  }

  /** Reads to the end, and queues again what was not found there. */
  private void settle(List<PendingRecord> batch) {
    if (isSettled(batch)) {
      endAppend(Duration.ZERO);
      return;
    }
    follower.readToEnd().thenAccept(reached -> takeEnd(batch, reached));
  }

  private void takeEnd(List<PendingRecord> batch, boolean reached) {
    if (!reached) {
      timers.schedule(RETRY_DELAY, () -> settle(batch));
      return;
    }
    requeue(batch);
    endAppend(RETRY_DELAY);
  }

  private synchronized boolean isSettled(List<PendingRecord> batch) {
    for (PendingRecord record : batch) {
      if (pending.containsKey(record.recordId)) {
        return false;
      }
    }
    return true;
  }

  private synchronized void expect(List<PendingRecord> batch) {
    for (PendingRecord record : batch) {
      record.stage = PendingRecord.Stage.EXPECTED;
      record.maybeAppended = true;
    }
  }

  private synchronized void requeue(List<PendingRecord> batch) {
    for (PendingRecord record : batch) {
      record.stage = PendingRecord.Stage.QUEUED;
    }
  }

  private void endAppend(Duration delay) {
    synchronized (this) {
      appendUnderWay = false;
      lingering = hasQueued();
      if (!lingering) {
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

  private void timeOut(PendingRecord record) {
    boolean notAppended;
    synchronized (this) {
      if (pending.remove(record.recordId) == null) {
        return;
      }
      notAppended = record.stage == PendingRecord.Stage.QUEUED && !record.maybeAppended;
    }
    metrics.counter("log.append_timeouts").inc();
    if (notAppended) {
      record.outcome.complete(new AppendOutcome.NotAppended("the log took no append in time"));
      return;
    }
    record.outcome.complete(new AppendOutcome.Unknown("the record was not read back in time"));
  }
}
